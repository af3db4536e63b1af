#include "quetzalloft/address.h"
#include "quetzalloft/error.h"

#include <arpa/inet.h>
#include <stdio.h>
#include <string.h>

#define PORT_MAX 65535

static int malformed(GError **error, const char *text)
{
	return ql_error_set(error, QL_E_INVALID,
			    "found address \"%.64s\", allowed IP:port", text);
}

int ql_address_parse(struct sockaddr_in *out, const char *text, GError **error)
{
	char ip[INET_ADDRSTRLEN];
	const char *colon = strrchr(text, ':');
	guint64 port;

	memset(out, 0, sizeof(*out));
	if (!colon || colon - text >= (int)sizeof(ip))
		return malformed(error, text);
	memcpy(ip, text, (size_t)(colon - text));
	ip[colon - text] = '\0';
	out->sin_family = AF_INET;
	if (inet_pton(AF_INET, ip, &out->sin_addr) != 1 ||
	    !g_ascii_string_to_unsigned(colon + 1, 10, 1, PORT_MAX, &port,
					NULL))
		return malformed(error, text);
	out->sin_port = htons((uint16_t)port);
	return 0;
}

void ql_address_format(char *out, const char *ip, unsigned int port)
{
	snprintf(out, QL_ADDRESS_MAX, "%s:%u", ip, port);
}
