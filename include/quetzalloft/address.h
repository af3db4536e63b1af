#ifndef QUETZALLOFT_ADDRESS_H
#define QUETZALLOFT_ADDRESS_H

/**
 * DOC: "IP:port" addresses.
 */

#include "quetzalloft/types.h"

#include <netinet/in.h>

G_BEGIN_DECLS

/**
 * ql_address_parse() - Read an address.
 * @out: the address
 * @text: "IP:port" with an IPv4 number
 * @error: detail of a failure
 *
 * Return: 0 or QL_E_INVALID.
 */
int ql_address_parse(struct sockaddr_in *out, const char *text, GError **error);

/**
 * ql_address_format() - Write an address.
 * @out: QL_ADDRESS_MAX bytes
 * @ip: the IP number
 * @port: the port
 */
void ql_address_format(char *out, const char *ip, unsigned int port);

G_END_DECLS

#endif
