#ifndef QL_CONTROL_EXCHANGE_H
#define QL_CONTROL_EXCHANGE_H

/**
 * DOC: The exchange between registrars. Each registrar asks the others in
 * turn for what changed there since a number, whichever domain it is about,
 * so that knowledge also passes around a cut link. It has no thread, socket or
 * clock of its own.
 */

#include "quetzalloft/registrar.h"

G_BEGIN_DECLS

#define QL_PEERS_MAX 128

/**
 * struct ql_exchange_peer - Another registrar.
 * @incarnation: of its process, when it answered last
 * @seen_change_number: its changes up to this number are known here
 * @failures: calls in a row that failed
 * @mismatches: answers in a row whose digests differ from ours
 * @due_ms: when it is asked next
 */
typedef struct ql_exchange_peer {
	uint64_t incarnation;
	uint64_t seen_change_number;
	uint32_t failures;
	uint32_t mismatches;
	uint64_t due_ms;
} ql_exchange_peer_t;

/**
 * struct ql_exchange_counts - What the exchange counts.
 * @answers: answers taken
 * @records: records received
 * @full_exchanges: full exchanges because of a digest that stayed different
 * @failures: calls that failed
 */
typedef struct ql_exchange_counts {
	uint64_t answers;
	uint64_t records;
	uint64_t full_exchanges;
	uint64_t failures;
} ql_exchange_counts_t;

/**
 * struct ql_exchange - The asking side.
 * @registrar: the registrar; borrowed
 * @node: name of the node that it runs in
 * @interval_ms: time between two calls to the same peer
 * @random: for jitter; borrowed
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
 * ql_exchange_init() - Prepare the exchange.
 * @exchange: the exchange
 * @registrar: the registrar
 * @node: name of the node that it runs in
 * @n_peers: number of peers, up to QL_PEERS_MAX
 * @random: for jitter
 *
 * The calls that a registrar makes in a second are bounded, however many
 * peers it has.
 */
void ql_exchange_init(ql_exchange_t *exchange, ql_registrar_t *registrar,
		      const char *node, size_t n_peers, GRand *random);

/**
 * ql_exchange_add_peer() - Exchange with one more peer, the next index.
 * @exchange: the exchange, with fewer than QL_PEERS_MAX peers
 * @now_ms: the time
 */
void ql_exchange_add_peer(ql_exchange_t *exchange, uint64_t now_ms);

/**
 * ql_exchange_next_peer() - Find a peer to ask.
 * @exchange: the exchange
 * @now_ms: the time
 * @delay_ms: set to the time until the next one is due, when none is
 *
 * Return: its index, or -1.
 */
int ql_exchange_next_peer(const ql_exchange_t *exchange, uint64_t now_ms,
			  uint64_t *delay_ms);

void ql_exchange_fill_request(const ql_exchange_t *exchange, size_t index,
			      ql_rpc_exchange_args *args);

/**
 * ql_exchange_handle_reply() - Take the answer of a peer.
 * @exchange: the exchange
 * @index: the peer
 * @res: the answer
 * @now_ms: the time
 * @error: detail of a failure
 *
 * Return: 0 or the status of the answer.
 */
int ql_exchange_handle_reply(ql_exchange_t *exchange, size_t index,
			     const ql_rpc_exchange_res *res, uint64_t now_ms,
			     GError **error);

/**
 * ql_exchange_failed() - A peer did not answer: ask it later.
 * @exchange: the exchange
 * @index: the peer
 * @now_ms: the time
 */
void ql_exchange_failed(ql_exchange_t *exchange, size_t index, uint64_t now_ms);

/**
 * ql_exchange_handle_request() - Answer another registrar.
 * @registrar: the registrar
 * @args: what it sent
 * @res: the answer, zeros at first; freed by its XDR routine
 * @now_ms: the time
 */
void ql_exchange_handle_request(ql_registrar_t *registrar,
				const ql_rpc_exchange_args *args,
				ql_rpc_exchange_res *res, uint64_t now_ms);

G_END_DECLS

#endif
