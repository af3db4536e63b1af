#ifndef QL_NODE_REGISTRAR_SERVICE_H
#define QL_NODE_REGISTRAR_SERVICE_H

/**
 * DOC: A registrar in a process. It answers nodes and other registrars. One
 * thread polls the replicas for configuration changes, another exchanges
 * records with the other registrars.
 */

#include "control/exchange.h"
#include "control/rpc_client.h"
#include "node/settings.h"
#include "node/withdrawal_store.h"
#include "quetzalloft/clock.h"
#include "quetzalloft/ring.h"

#include <pthread.h>

G_BEGIN_DECLS

/**
 * struct ql_registrar_service - The registrar of this process.
 * @settings: settings of the process; borrowed
 * @hlc: hybrid logical clock; borrowed
 * @lock: guards @registrar, @exchange, @last_tick_ms and the configuration;
 *        borrowed
 * @incarnation: start of this process
 * @registrar: the registrar
 * @store: the withdrawals on the disk; only with @has_store
 * @has_store: this registrar has a data folder
 * @exchange: the exchange with the other registrars
 * @random: source of the jitter of @exchange
 * @replicas: connections to the replicas, in the order of the settings
 * @next_replica: polls so far, modulo the number of replicas the index of the
 *                next one to poll
 * @peers: connections to the other registrars, at the index that @exchange uses
 * @wake_ring: a push makes @poll_thread poll a replica at once
 * @poll_thread: ticks the registrar and polls the replicas; NULL when it does
 *               not run
 * @exchange_thread: calls the other registrars; NULL when it does not run
 * @last_tick_ms: time of the last tick of the registrar, in milliseconds
 * @stopping: 1 ends the threads; accessed atomically
 */
typedef struct ql_registrar_service {
	const ql_settings_t *settings;
	ql_hlc_t *hlc;
	pthread_mutex_t *lock;
	uint64_t incarnation;
	ql_registrar_t registrar;
	ql_withdrawal_store_t store;
	bool has_store;
	ql_exchange_t exchange;
	GRand *random;
	ql_rpc_client_t replicas[QL_REPLICAS_MAX];
	size_t next_replica;
	ql_rpc_client_t peers[QL_PEERS_MAX];
	ql_ring_t wake_ring;
	GThread *poll_thread;
	GThread *exchange_thread;
	uint64_t last_tick_ms;
	int stopping;
} ql_registrar_service_t;

/**
 * ql_registrar_service_init() - Initialise the registrar.
 * @service: zeros, with the borrowed fields and @incarnation set
 * @config: the configuration; borrowed; guarded by @lock
 * @error: set on failure
 *
 * Return: 0 or an error of ql_ring_init() or ql_withdrawal_store_init().
 */
int ql_registrar_service_init(ql_registrar_service_t *service,
			      ql_config_state_t *config, GError **error);

/**
 * ql_registrar_service_start() - Start the threads; does nothing when the
 * settings do not make this process a registrar.
 * @service: the service
 */
void ql_registrar_service_start(ql_registrar_service_t *service);

/**
 * ql_registrar_service_stop() - Stop the threads and wait for their end.
 * @service: the service
 */
void ql_registrar_service_stop(ql_registrar_service_t *service);

/**
 * ql_registrar_service_finish() - Close the connections and release the memory.
 * @service: a stopped service
 */
void ql_registrar_service_finish(ql_registrar_service_t *service);

/**
 * ql_registrar_service_handle_lease() - Answer a node that renews its lease.
 * @service: the service
 * @args: request of the node
 * @res: zeros; set to the answer, with the status QL_E_UNAVAILABLE when this
 *       process is not a registrar
 * @proven_ms: time of ql_clock_boot_ms() at which the configuration is known to
 *             have been the newest, or 0 if no time is known
 */
void ql_registrar_service_handle_lease(ql_registrar_service_t *service,
				       const ql_rpc_lease_args *args,
				       ql_rpc_lease_res *res,
				       uint64_t proven_ms);

/**
 * ql_registrar_service_handle_offer() - Answer a node that offers a document.
 * @service: the service
 * @args: request of the node
 * @res: zeros; set to the answer, with the status QL_E_UNAVAILABLE when this
 *       process is not a registrar, and QL_E_EXISTS when it is a replica, which
 *       has the document from the log
 */
void ql_registrar_service_handle_offer(ql_registrar_service_t *service,
				       const ql_rpc_offer_args *args,
				       ql_rpc_offer_res *res);

/**
 * ql_registrar_service_handle_exchange() - Answer another registrar.
 * @service: the service
 * @args: request of the registrar
 * @res: zeros; set to the answer, with the status QL_E_UNAVAILABLE when this
 *       process is not a registrar
 */
void ql_registrar_service_handle_exchange(ql_registrar_service_t *service,
					  const ql_rpc_exchange_args *args,
					  ql_rpc_exchange_res *res);

/**
 * ql_registrar_service_set_current() - See ql_registrar_set_current().
 * @service: the service
 * @current: the replica of this process is current
 */
void ql_registrar_service_set_current(ql_registrar_service_t *service,
				      bool current);

/**
 * ql_registrar_service_set_addresses() - Set the registrars that answers to
 * nodes list.
 * @service: the service
 * @addresses: "IP:port" of each
 * @n_addresses: number of @addresses, up to QL_RPC_REGISTRARS_MAX
 */
void ql_registrar_service_set_addresses(ql_registrar_service_t *service,
					char (*addresses)[QL_ADDRESS_MAX],
					size_t n_addresses);

/**
 * ql_registrar_service_add_peer() - Add a registrar to exchange records with.
 * @service: the service
 * @address: "IP:port"; ignored when it is that of this process or a peer, or
 *           when there are QL_PEERS_MAX peers
 */
void ql_registrar_service_add_peer(ql_registrar_service_t *service,
				   const char *address);

/**
 * ql_registrar_service_report() - Describe the members for operators.
 * @service: the service
 *
 * Return: a new reference; NULL when this process is not a registrar.
 */
json_t *ql_registrar_service_report(ql_registrar_service_t *service);

G_END_DECLS

#endif
