#ifndef QL_NODE_SETTINGS_H
#define QL_NODE_SETTINGS_H

/**
 * DOC: Settings of a process, read from a JSON file and validated.
 */

#include "quetzalloft/member.h"

G_BEGIN_DECLS

/** Bytes of a folder's path, the final NUL included. */
#define QL_FOLDER_MAX 256
/** Addresses in the setting "replicas". */
#define QL_REPLICAS_MAX 32
/** Addresses in the setting "peers". */
#define QL_REGISTRAR_PEERS_MAX 128
/** Addresses in the setting "neighbours". */
#define QL_NEIGHBOURS_MAX 8
/** Addresses in the setting "seeds". */
#define QL_SEEDS_MAX 8

/**
 * enum ql_role - Which services a process runs.
 * @QL_ROLE_ALL: gate, router, registrar and replica, as the other settings
 *               select them, with one thread for each connection
 * @QL_ROLE_NODE: the data path beside one endpoint, on an event loop
 * @QL_ROLE_REPLICA: replica, registrar and the HTTP interface for operators
 */
typedef enum ql_role {
	QL_ROLE_ALL,
	QL_ROLE_NODE,
	QL_ROLE_REPLICA,
} ql_role_t;

/**
 * struct ql_listen_settings - Addresses, "IP:port", on which a process with a
 * role listens; "" for one that is not set.
 * @client: for requests of clients and of the endpoint beside the node
 * @gate: for calls from other nodes
 * @ready: for readiness probes
 * @announce: for announcements of the endpoint beside the node
 * @operator_: for operators
 * @metrics: for readers of metrics; "" serves no metrics
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
 * @address: "IP:port" on which it listens
 * @service: name of the service that it provides
 */
typedef struct ql_endpoint_settings {
	char address[QL_ADDRESS_MAX];
	char service[QL_NAME_MAX];
} ql_endpoint_settings_t;

/**
 * struct ql_settings - Settings of a process; strings end in NUL, and a string
 * that is not set is "".
 * @role: which services the process runs
 * @cluster: name of the cluster
 * @node: name of this node
 * @failure_domain: failure domain whose registrars grant the lease of this node
 * @placement: failure domain in which this node runs, where the registrars
 *             serve several
 * @address: IPv4 address to which every listener binds
 * @client_port: port for clients
 * @gate_port: port for the routers of other nodes
 * @local_port: port for the endpoints of this VM
 * @control_port: port for ONC RPC
 * @data_folder: folder for the state of a replica; "" without a disk
 * @registrar: this process is a registrar of its failure domain
 * @replica: this process is a replica of the configuration
 * @registrars: "IP:port" of the registrars of the failure domain
 * @n_registrars: number of @registrars
 * @replicas: "IP:port" of the replicas
 * @n_replicas: number of @replicas
 * @peers: "IP:port" of the other registrars, of all failure domains
 * @n_peers: number of @peers
 * @neighbours: control addresses, "IP:port", of other nodes of the failure
 *              domain, used during the start when no registrar answers
 * @n_neighbours: number of @neighbours
 * @seeds: "IP:port" of some replicas, with @control_port as their port whatever
 *         the file says; with seeds the replicas manage their membership
 *         themselves
 * @n_seeds: number of @seeds
 * @bootstrap: this is the first start of the cluster, which the seeds form
 * @voters: number of voting replicas to maintain, odd
 * @replica_losses: number of replicas that may be lost at once, with their
 *                  disks; @voters is at least twice as many and one
 * @listen: addresses on which a process with a role listens
 * @endpoint: the endpoint beside a node
 * @repeat_ratio: retry budget of a service: retries for each first attempt,
 *                0 to 1; 0 takes the ratio from the configuration
 * @key_lease_ms: time after which API keys that were withdrawn are accepted no
 *                more, whatever this node has received; 0 accepts API keys
 *                without proof that they are current
 * @grace_ms: longest time in ms from the request to stop until the exit
 * @quota_window_ms: window in ms in which the requests of a team are counted
 *                   against its quota
 * @quota_overshoot: part by which they may exceed the quota in a window
 * @quota_slack: requests by which they may exceed it besides
 * @balancer: name of the load balancing policy; by default least_time of a
 *            node and two_choices of others
 * @limiter: name of the limiter that overrides the one of the configuration;
 *           "" overrides nothing
 * @charts: folder of the state charts; "" for the installed one
 * @connections: connections that a listener accepts at the same time
 * @queue: requests that may wait at a gate
 * @lease_ms: time in ms that a lease lasts without renewal
 * @renew_ms: time in ms between renewals of the lease, at most half of
 *            @lease_ms
 * @drain_ms: shortest time in ms from the announcement that the node leaves
 *            until the exit
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
	uint64_t replica_losses;
	ql_listen_settings_t listen;
	ql_endpoint_settings_t endpoint;
	double repeat_ratio;
	uint64_t key_lease_ms;
	uint64_t grace_ms;
	uint64_t quota_window_ms;
	double quota_overshoot;
	double quota_slack;
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
 * ql_settings_parse() - Read and validate settings.
 * @settings: set to the settings; undefined after a failure
 * @json: the content of the settings file; not changed
 * @error: set on failure to the key, the value found and the values allowed
 *
 * Return: 0; an error of ql_json_read(); QL_E_INVALID, QL_E_TYPE or QL_E_RANGE
 * for a wrong value; QL_E_MISSING_KEY for a key that the role needs; or
 * QL_E_NOT_FOUND for an unknown limiter or a list of replicas without this
 * one.
 */
int ql_settings_parse(ql_settings_t *settings, json_t *json, GError **error);

G_END_DECLS

#endif
