#ifndef QL_CONTROL_EXCHANGE_H
#define QL_CONTROL_EXCHANGE_H

/**
 * DOC: The exchange of records between registrars. Each registrar calls the
 * others in turn and gets the records that changed there since its last call,
 * of all failure domains, so that records also pass around a broken link. It
 * has no thread, socket or clock of its own.
 */

#include "quetzalloft/registrar.h"

G_BEGIN_DECLS

/** Most other registrars that a registrar exchanges records with. */
#define QL_PEERS_MAX 128

/**
 * struct ql_exchange_peer - Another registrar that is called.
 * @incarnation: incarnation of the peer in its last reply that was not a
 *               refusal; 0 for none
 * @seen_change_number: number of the last change of the peer that was received
 * @failures: consecutive calls without a reply or with a refusal
 * @mismatches: consecutive complete replies with a digest that differs from the
 *              own one
 * @due_ms: time of the next call
 */
typedef struct ql_exchange_peer {
	uint64_t incarnation;
	uint64_t seen_change_number;
	uint32_t failures;
	uint32_t mismatches;
	uint64_t due_ms;
} ql_exchange_peer_t;

/**
 * struct ql_exchange_counts - Counters of the exchange since its start.
 * @answers: replies handled
 * @records: records received
 * @full_exchanges: exchanges of all records because the digests kept differing
 * @failures: calls without a reply or with a refusal
 */
typedef struct ql_exchange_counts {
	uint64_t answers;
	uint64_t records;
	uint64_t full_exchanges;
	uint64_t failures;
} ql_exchange_counts_t;

/**
 * struct ql_exchange - The calling side of the exchange.
 * @registrar: the registrar that the records are merged into; borrowed
 * @node: name of the node that the registrar runs on
 * @peers: the other registrars
 * @n_peers: number of @peers
 * @interval_ms: mean time between two calls to the same peer
 * @random: source of jitter; borrowed
 * @counts: counters
 */
typedef struct ql_exchange {
	ql_registrar_t *registrar;
	char node[QL_NAME_MAX];
	ql_exchange_peer_t peers[QL_PEERS_MAX];
	size_t n_peers;
	uint32_t interval_ms;
	GRand *random;
	ql_exchange_counts_t counts;
} ql_exchange_t;

/**
 * ql_exchange_init() - Initialize the exchange.
 * @exchange: the exchange
 * @registrar: the registrar; borrowed
 * @node: name of the node that the registrar runs on
 * @n_peers: number of peers, up to QL_PEERS_MAX
 * @random: source of jitter; borrowed
 *
 * The interval grows with the number of peers, so that the rate of all calls
 * together is bounded.
 */
void ql_exchange_init(ql_exchange_t *exchange, ql_registrar_t *registrar,
		      const char *node, size_t n_peers, GRand *random);

/**
 * ql_exchange_add_peer() - Add a peer; it gets the next index.
 * @exchange: the exchange, with fewer than QL_PEERS_MAX peers
 * @now_ms: current time
 */
void ql_exchange_add_peer(ql_exchange_t *exchange, uint64_t now_ms);

/**
 * ql_exchange_next_peer() - Find the peer whose call is due.
 * @exchange: the exchange
 * @now_ms: current time
 * @delay_ms: set to the time until the next call is due; 0 when one is
 *
 * Return: index of the peer, or -1 when no call is due.
 */
int ql_exchange_next_peer(const ql_exchange_t *exchange, uint64_t now_ms,
			  uint64_t *delay_ms);

/**
 * ql_exchange_fill_request() - Write the request to a peer.
 * @exchange: the exchange
 * @index: index of the peer
 * @args: the request; freed by its XDR routine
 */
void ql_exchange_fill_request(const ql_exchange_t *exchange, size_t index,
			      ql_rpc_exchange_args *args);

/**
 * ql_exchange_handle_reply() - Handle the reply of a peer.
 * @exchange: the exchange
 * @index: index of the peer
 * @res: the reply
 * @now_ms: current time
 * @error: detail of a failure
 *
 * A refusal starts the backoff of the peer.
 *
 * Return: 0 or the status of the reply.
 */
int ql_exchange_handle_reply(ql_exchange_t *exchange, size_t index,
			     const ql_rpc_exchange_res *res, uint64_t now_ms,
			     GError **error);

/**
 * ql_exchange_failed() - Start the backoff of a peer that did not reply or has
 * refused the request.
 * @exchange: the exchange
 * @index: index of the peer
 * @now_ms: current time
 */
void ql_exchange_failed(ql_exchange_t *exchange, size_t index, uint64_t now_ms);

/**
 * ql_exchange_handle_request() - Handle the request of another registrar.
 * @registrar: the registrar
 * @args: the request
 * @res: the reply, zeros at first; the caller frees it with its XDR routine.
 *       Its status is 0 or an error of ql_greeting_check().
 * @now_ms: current time
 */
void ql_exchange_handle_request(ql_registrar_t *registrar,
				const ql_rpc_exchange_args *args,
				ql_rpc_exchange_res *res, uint64_t now_ms);

G_END_DECLS

#endif
