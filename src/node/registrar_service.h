#ifndef QL_NODE_REGISTRAR_SERVICE_H
#define QL_NODE_REGISTRAR_SERVICE_H

/**
 * DOC: A registrar in a process: it answers nodes and other registrars, and
 * its threads follow the replicas and exchange with the other registrars.
 */

#include "control/exchange.h"
#include "control/rpc_client.h"
#include "node/settings.h"
#include "quetzalloft/clock.h"
#include "quetzalloft/ring.h"

#include <pthread.h>

G_BEGIN_DECLS

/**
 * struct ql_registrar_service - The registrar of this process.
 * @settings: borrowed
 * @hlc: borrowed
 * @lock: guards @registrar, @exchange and the configuration; borrowed
 * @incarnation: start of this process
 * @replicas: connections to the replicas
 * @next_replica: the one to ask next
 * @peers: connections to the other registrars
 * @wake_ring: pushed to ask a replica at once
 * @poll_thread: thread that ticks and follows the replicas
 * @exchange_thread: thread that asks the other registrars
 * @last_tick_ms: when the registrar ticked last
 */
typedef struct ql_registrar_service {
	const ql_settings_t *settings;
	ql_hlc_t *hlc;
	pthread_mutex_t *lock;
	uint64_t incarnation;
	ql_registrar_t registrar;
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
 * ql_registrar_service_init() - Prepare the registrar.
 * @service: the service, its borrowed members and @incarnation set
 * @config: the configuration; borrowed
 * @error: detail of a failure
 *
 * Return: 0 or a failure of ql_ring_init().
 */
int ql_registrar_service_init(ql_registrar_service_t *service,
			      ql_config_state_t *config, GError **error);

/**
 * ql_registrar_service_start() - Start the threads, when the settings make
 * this process a registrar.
 * @service: the service
 */
void ql_registrar_service_start(ql_registrar_service_t *service);

/**
 * ql_registrar_service_stop() - End the threads.
 * @service: the service
 */
void ql_registrar_service_stop(ql_registrar_service_t *service);

void ql_registrar_service_finish(ql_registrar_service_t *service);

void ql_registrar_service_handle_lease(ql_registrar_service_t *service,
				       const ql_rpc_lease_args *args,
				       ql_rpc_lease_res *res);
void ql_registrar_service_handle_offer(ql_registrar_service_t *service,
				       const ql_rpc_offer_args *args,
				       ql_rpc_offer_res *res);
void ql_registrar_service_handle_exchange(ql_registrar_service_t *service,
					  const ql_rpc_exchange_args *args,
					  ql_rpc_exchange_res *res);

/**
 * ql_registrar_service_set_current() - See ql_registrar_set_current().
 */
void ql_registrar_service_set_current(ql_registrar_service_t *service,
				      bool current);

/**
 * ql_registrar_service_set_addresses() - The registrars that nodes are told of.
 * @service: the service
 * @addresses: "IP:port" of each
 * @n_addresses: their number, up to QL_RPC_REGISTRARS_MAX
 */
void ql_registrar_service_set_addresses(ql_registrar_service_t *service,
					char (*addresses)[QL_ADDRESS_MAX],
					size_t n_addresses);

/**
 * ql_registrar_service_add_peer() - Exchange with one more registrar.
 * @service: the service
 * @address: "IP:port"; one that is known, or this process, is ignored
 */
void ql_registrar_service_add_peer(ql_registrar_service_t *service,
				   const char *address);

/**
 * ql_registrar_service_report() - The members, for operators.
 * @service: the service
 *
 * Return: a new reference, or NULL when this process is no registrar.
 */
json_t *ql_registrar_service_report(ql_registrar_service_t *service);

G_END_DECLS

#endif
