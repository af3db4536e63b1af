#include "cli/patch_sender.h"
#include "cli/peer.h"
#include "quetzalloft/clock.h"
#include "quetzalloft/error.h"

#define PAUSE_US (100 * QL_US_PER_MS)

/* Asks the leader if one was named, else each server in turn. */
static void choose_address(char *address, char *leader,
			   const ql_options_t *options, size_t *turn)
{
	if (*leader) {
		g_strlcpy(address, leader, QL_ADDRESS_MAX);
		*leader = '\0';
		return;
	}
	g_strlcpy(address, options->servers[*turn % options->n_servers],
		  QL_ADDRESS_MAX);
	(*turn)++;
}

void ql_patch_submit(ql_patch_result_t *result,
		     const ql_patch_transport_t *transport,
		     const ql_options_t *options)
{
	uint64_t until_us = transport->now_us(transport->data) +
			    options->timeout_ms * QL_US_PER_MS;
	char address[QL_ADDRESS_MAX];
	char leader[QL_ADDRESS_MAX] = "";
	size_t turn = 0;

	*result = (ql_patch_result_t){.status = QL_E_UNAVAILABLE};
	for (;;) {
		choose_address(address, leader, options, &turn);
		g_clear_pointer(&result->detail, g_free);
		result->sent++;
		transport->send(transport->data, address, result, leader);
		if (ql_peer_is_settled(result->status) ||
		    transport->now_us(transport->data) + PAUSE_US >= until_us)
			return;
		transport->pause(transport->data, PAUSE_US);
	}
}
