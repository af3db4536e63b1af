#ifndef QUETZALLOFT_ADDRESS_H
#define QUETZALLOFT_ADDRESS_H

/**
 * DOC: IPv4 addresses with a port, in text as "IP:port".
 */

#include "quetzalloft/types.h"

#include <netinet/in.h>

G_BEGIN_DECLS

/**
 * ql_address_parse() - Parse an address.
 * @out: set to the address; undefined after a failure
 * @text: "IP:port": an IPv4 address in dotted notation and a port from 1 to
 *        65535
 * @error: set to the detail of a failure, or NULL
 *
 * Return: 0, or QL_E_INVALID if @text is malformed.
 */
int ql_address_parse(struct sockaddr_in *out, const char *text, GError **error);

/**
 * ql_address_format() - Format an address as "IP:port", truncated to fit.
 * @out: buffer of QL_ADDRESS_MAX bytes
 * @ip: the IP address in text
 * @port: the port
 */
void ql_address_format(char *out, const char *ip, unsigned int port);

G_END_DECLS

#endif
