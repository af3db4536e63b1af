#ifndef QL_NODE_SETTINGS_H
#define QL_NODE_SETTINGS_H

/**
 * DOC: The settings of one process, read from a JSON file and checked.
 */

#include "quetzalloft/member.h"

G_BEGIN_DECLS

#define QL_FOLDER_MAX 256
#define QL_REPLICAS_MAX 32
#define QL_REGISTRAR_PEERS_MAX 128
#define QL_NEIGHBOURS_MAX 8
#define QL_SEEDS_MAX 8

/**
 * enum ql_role - What a process does.
 * @QL_ROLE_ALL: all that its settings name, with a thread a connection
 * @QL_ROLE_NODE: the path of calls beside an endpoint, on an event loop
 * @QL_ROLE_REPLICA: replica, registrar and the operators' interface
 */
typedef enum ql_role {
	QL_ROLE_ALL,
	QL_ROLE_NODE,
	QL_ROLE_REPLICA,
} ql_role_t;

/**
 * struct ql_listen_settings - Where a process with a role listens, "IP:port".
 * @client: clients, and the calls of the endpoint beside the node
 * @gate: other nodes
 * @ready: readiness
 * @announce: the announcements of the endpoint
 * @operator_: operators
 * @metrics: readers of metrics; empty where none are served
 */
typedef struct ql_listen_settings {
	char client[QL_ADDRESS_MAX];
	char gate[QL_ADDRESS_MAX];
	char ready[QL_ADDRESS_MAX];
	char announce[QL_ADDRESS_MAX];
	char operator_[QL_ADDRESS_MAX];
	char metrics[QL_ADDRESS_MAX];
} ql_listen_settings_t;

/**
 * struct ql_endpoint_settings - The endpoint beside a node.
 * @address: where it listens, "IP:port"
 * @service: what it serves
 */
typedef struct ql_endpoint_settings {
	char address[QL_ADDRESS_MAX];
	char service[QL_NAME_MAX];
} ql_endpoint_settings_t;

/**
 * struct ql_settings - The settings.
 * @role: what this process does
 * @cluster: name of the cluster
 * @node: name of this node
 * @failure_domain: the domain whose registrars hold its lease
 * @placement: where it is, if the registrars serve several failure domains
 * @address: IP number that every listener binds to
 * @client_port: for clients
 * @gate_port: for the routers of other nodes
 * @local_port: for the endpoints of this VM
 * @control_port: for ONC RPC
 * @data_folder: for the state of a replica; empty without a disk
 * @registrar: whether this process is a registrar of its failure domain
 * @replica: whether it is a replica of the configuration
 * @registrars: addresses of the registrars of the failure domain
 * @replicas: addresses of the replicas
 * @peers: addresses of the other registrars, of all failure domains
 * @neighbours: control addresses of some other nodes of the failure domain,
 *              which are asked when no registrar answers at the start
 * @seeds: addresses of some replicas, of which the IP numbers count; with them
 *         the replicas keep the list of their members themselves
 * @bootstrap: the cluster starts for the first time, and the seeds found it
 * @voters: replicas that are to vote, an odd number
 * @listen: of a process with a role
 * @endpoint: beside a node
 * @repeat_ratio: second sends that a service takes for each request for it; 0
 *                goes by the configuration
 * @grace_ms: longest time between the request to stop and the exit
 * @balancer: name of the policy that chooses endpoints
 * @limiter: name of a limiter that overrides the configuration's; may be empty
 * @charts: folder of the state charts; empty for the installed one
 * @connections: connections that a listener takes
 * @queue: requests that may wait at a gate
 * @lease_ms: how long a registrar keeps a node that is silent
 * @renew_ms: time between renewals of the lease
 * @drain_ms: least time between the announcement of leaving and the exit
 */
typedef struct ql_settings {
	ql_role_t role;
	char cluster[QL_NAME_MAX];
	char node[QL_NAME_MAX];
	char failure_domain[QL_NAME_MAX];
	char placement[QL_NAME_MAX];
	char address[QL_ADDRESS_MAX];
	uint64_t client_port;
	uint64_t gate_port;
	uint64_t local_port;
	uint64_t control_port;
	char data_folder[QL_FOLDER_MAX];
	bool registrar;
	bool replica;
	char registrars[QL_REGISTRARS_MAX][QL_ADDRESS_MAX];
	size_t n_registrars;
	char replicas[QL_REPLICAS_MAX][QL_ADDRESS_MAX];
	size_t n_replicas;
	char peers[QL_REGISTRAR_PEERS_MAX][QL_ADDRESS_MAX];
	size_t n_peers;
	char neighbours[QL_NEIGHBOURS_MAX][QL_ADDRESS_MAX];
	size_t n_neighbours;
	char seeds[QL_SEEDS_MAX][QL_ADDRESS_MAX];
	size_t n_seeds;
	bool bootstrap;
	uint64_t voters;
	ql_listen_settings_t listen;
	ql_endpoint_settings_t endpoint;
	double repeat_ratio;
	uint64_t grace_ms;
	char balancer[QL_NAME_MAX];
	char limiter[QL_NAME_MAX];
	char charts[QL_FOLDER_MAX];
	uint64_t connections;
	uint64_t queue;
	uint64_t lease_ms;
	uint64_t renew_ms;
	uint64_t drain_ms;
} ql_settings_t;

/**
 * ql_settings_parse() - Check settings.
 * @settings: where to store them
 * @json: the source
 * @error: detail of a failure: the key, what was found, what is allowed
 *
 * Return: 0 or a failure of ql_json_read(), QL_E_INVALID or QL_E_NOT_FOUND.
 */
int ql_settings_parse(ql_settings_t *settings, json_t *json, GError **error);

G_END_DECLS

#endif
