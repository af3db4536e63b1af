#include "cli/submit.h"
#include "cli/peer.h"
#include "quetzalloft/clock.h"
#include "quetzalloft/error.h"

#define RESEND_PAUSE_US (100 * QL_US_PER_MS)
#define SEND_TIMEOUT_MAX_MS 2000u

/*
 * Chooses the leader if the last answer named one, else the next server.
 * Clears the leader, so that one that fails is not chosen again.
 */
static void choose_address(char *address, char *leader,
			   const ql_options_t *options, size_t *next_server)
{
	if (*leader) {
		g_strlcpy(address, leader, QL_ADDRESS_MAX);
		*leader = '\0';
		return;
	}
	g_strlcpy(address, options->servers[*next_server % options->n_servers],
		  QL_ADDRESS_MAX);
	(*next_server)++;
}

void ql_submit(ql_submit_result_t *result,
	       const ql_submit_transport_t *transport,
	       const ql_options_t *options)
{
	uint64_t deadline_us = transport->now_us(transport->data) +
			       options->timeout_ms * QL_US_PER_MS;
	char address[QL_ADDRESS_MAX];
	char leader[QL_ADDRESS_MAX] = "";
	size_t next_server = 0;

	*result = (ql_submit_result_t){.status = QL_E_UNAVAILABLE};
	for (;;) {
		choose_address(address, leader, options, &next_server);
		g_clear_pointer(&result->detail, g_free);
		result->n_sent++;
		transport->send(transport->data, address,
				MIN(options->timeout_ms, SEND_TIMEOUT_MAX_MS),
				result, leader);
		if (ql_peer_is_final(result->status) ||
		    transport->now_us(transport->data) + RESEND_PAUSE_US >=
			    deadline_us)
			return;
		transport->pause(transport->data, RESEND_PAUSE_US);
	}
}

uint64_t ql_submit_now_us(void *data G_GNUC_UNUSED)
{
	return ql_clock_now_us();
}

void ql_submit_pause(void *data G_GNUC_UNUSED, uint64_t pause_us)
{
	g_usleep(pause_us);
}
