/*
 * Control protocol between the processes of one cluster. Every request begins
 * with a greeting, which identifies the cluster and the sender. A status is 0
 * or a ql_error_code_t, with a message in detail. A clock is the sender's
 * hybrid logical clock. An incarnation identifies one start of a process.
 */

const QL_RPC_NAME_MAX = 63;
const QL_RPC_ADDRESS_MAX = 63;
const QL_RPC_KEY_MAX = 127;
const QL_RPC_DETAIL_MAX = 511;
const QL_RPC_DOCUMENT_MAX = 8388608;
const QL_RPC_PATCH_MAX = 8388608;
const QL_RPC_CHANGE_MAX = 1048576;
const QL_RPC_LOCAL_ENDPOINTS_MAX = 16;
const QL_RPC_INTEREST_MAX = 1024;
const QL_RPC_MEMBERS_MAX = 4096;
const QL_RPC_CHANGES_MAX = 256;
const QL_RPC_DOMAINS_MAX = 64;
const QL_RPC_SERVICES_MAX = 1024;
const QL_RPC_EXCHANGE_MAX = 256;
const QL_RPC_REGISTRARS_MAX = 32;
const QL_RPC_QUOTA_MAX = 256;
const QL_RPC_PROTOCOL_VERSION = 7;

struct ql_rpc_greeting {
	string cluster<QL_RPC_NAME_MAX>;
	string node<QL_RPC_NAME_MAX>;
	string failure_domain<QL_RPC_NAME_MAX>;
	unsigned hyper incarnation;
	unsigned hyper clock;
	unsigned int protocol;
};

/*
 * An accepted patch. Applied to base_version it results in config_version.
 * Instead of a larger one the whole document is sent.
 */
struct ql_rpc_change {
	unsigned hyper base_version;
	unsigned hyper config_version;
	unsigned hyper digest;
	opaque patch<QL_RPC_CHANGE_MAX>;
};

enum ql_rpc_endpoint_state {
	QL_RPC_ENDPOINT_SERVING = 0,
	QL_RPC_ENDPOINT_LEAVING = 1,
	QL_RPC_ENDPOINT_GONE = 2
};

/*
 * Record of an endpoint.
 * failure_domain: the one whose registrars grant the lease.
 * placement: failure domain of the VM where the registrars serve several, else
 * empty.
 * slots: requests that the endpoint can run at once.
 * connections: most connections that it accepts; 0 for no limit.
 * epoch: of two records the one with the higher epoch is newer, then the one
 * with the higher incarnation, then the one with the later state.
 * holder: incarnation of the registrar that holds the lease. A node that renews
 * at several registrars sends one of them, or 0 while none has replied.
 */
struct ql_rpc_endpoint {
	string service<QL_RPC_NAME_MAX>;
	string gate<QL_RPC_ADDRESS_MAX>;
	string node<QL_RPC_NAME_MAX>;
	string failure_domain<QL_RPC_NAME_MAX>;
	string placement<QL_RPC_NAME_MAX>;
	unsigned hyper incarnation;
	unsigned int slots;
	unsigned int connections;
	ql_rpc_endpoint_state state;
	unsigned hyper epoch;
	unsigned hyper holder;
};

/*
 * The latest withdrawal of the endpoint at a gate, see quetzalloft/withdrawal.h.
 * instance: empty when none is known.
 */
struct ql_rpc_withdrawal {
	string service<QL_RPC_NAME_MAX>;
	string gate<QL_RPC_ADDRESS_MAX>;
	string instance<QL_RPC_KEY_MAX>;
	unsigned hyper started_ms;
	unsigned hyper sequence;
};

/* A withdrawal in the file of a registrar, and the node of the endpoint. */
struct ql_rpc_kept_withdrawal {
	ql_rpc_withdrawal latest;
	string node<QL_RPC_NAME_MAX>;
	string failure_domain<QL_RPC_NAME_MAX>;
};

/*
 * A service that a node follows, and the digest of the endpoints that it has.
 */
struct ql_rpc_interest {
	string service<QL_RPC_NAME_MAX>;
	unsigned hyper digest;
};

/* Changed endpoints of a service; with whole, all that the node is to have. */
struct ql_rpc_service {
	string service<QL_RPC_NAME_MAX>;
	bool whole;
	ql_rpc_endpoint endpoints<QL_RPC_MEMBERS_MAX>;
};

/*
 * State of a failure domain at a registrar.
 * age_ms: time since a registrar of the failure domain confirmed its endpoints.
 * covered: the registrar has all endpoints of the failure domain, so that an
 * endpoint that it does not list is gone.
 * stale: the last confirmation is too old.
 * digest: digest of the endpoints that are not gone.
 */
struct ql_rpc_domain {
	string name<QL_RPC_NAME_MAX>;
	unsigned hyper age_ms;
	bool covered;
	bool stale;
	unsigned hyper digest;
};

/*
 * A node renews its lease at a registrar of its failure domain.
 * interest: the services that the node follows. They are sent with the first
 * renewal, when they have changed, when the registrar has set want_interest,
 * and periodically to compare the digests. Otherwise the registrar uses those
 * that it has received last.
 * sequence: a renewal whose sequence is not above that of the last one was
 * delayed and is refused.
 * epoch: the endpoints are stored with at least this epoch. When the registrar
 * replies with conflict, it has an endpoint that serves recorded as leaving or
 * gone, or in a later incarnation. Only a renewal with a higher epoch replaces
 * that record, so that a delayed renewal cannot.
 * withdrawals: the latest one that the node knows of each of its gates, also of
 * those without an endpoint. The reply has those of which the registrar knows a
 * later one.
 */
struct ql_rpc_lease_args {
	ql_rpc_greeting greeting;
	unsigned hyper config_version;
	unsigned hyper config_digest;
	unsigned hyper registrar_incarnation;
	unsigned hyper members_number;
	unsigned hyper epoch;
	unsigned hyper sequence;
	bool leaving;
	ql_rpc_endpoint endpoints<QL_RPC_LOCAL_ENDPOINTS_MAX>;
	bool want_whole_document;
	bool has_interest;
	ql_rpc_interest interest<QL_RPC_INTEREST_MAX>;
	ql_rpc_withdrawal withdrawals<QL_RPC_LOCAL_ENDPOINTS_MAX>;
};

/* A registrar that nodes may renew at. */
struct ql_rpc_registrar {
	string address<QL_RPC_ADDRESS_MAX>;
};

/*
 * withdrawals_saved: a restart of the registrar does not lose what it knows of
 * the withdrawals in the request, and later ones of the same gates.
 * has_proof: config_version was the newest version proof_age_ms before the
 * reply was written, or later.
 */
struct ql_rpc_lease_res {
	int status;
	string detail<QL_RPC_DETAIL_MAX>;
	unsigned hyper clock;
	unsigned int lease_ms;
	unsigned hyper config_version;
	bool whole_document;
	opaque document<QL_RPC_DOCUMENT_MAX>;
	ql_rpc_change changes<QL_RPC_CHANGES_MAX>;
	unsigned hyper registrar_incarnation;
	unsigned hyper members_number;
	unsigned hyper epoch;
	bool conflict;
	bool ready;
	bool want_interest;
	bool want_document;
	ql_rpc_service services<QL_RPC_SERVICES_MAX>;
	ql_rpc_domain domains<QL_RPC_DOMAINS_MAX>;
	ql_rpc_registrar registrars<QL_RPC_REGISTRARS_MAX>;
	ql_rpc_withdrawal withdrawals<QL_RPC_LOCAL_ENDPOINTS_MAX>;
	bool withdrawals_saved;
	bool has_proof;
	unsigned hyper proof_age_ms;
};

/* A node sends its document to a registrar that has an older one. */
struct ql_rpc_offer_args {
	ql_rpc_greeting greeting;
	unsigned hyper config_version;
	unsigned hyper digest;
	opaque document<QL_RPC_DOCUMENT_MAX>;
};

struct ql_rpc_offer_res {
	int status;
	string detail<QL_RPC_DETAIL_MAX>;
	unsigned hyper clock;
	unsigned hyper config_version;
};

/*
 * A registrar requests the records that have changed at another one after
 * change number. The number counts within registrar_incarnation.
 * withdrawals: those of the endpoints in the same reply.
 */
struct ql_rpc_exchange_args {
	ql_rpc_greeting greeting;
	unsigned hyper registrar_incarnation;
	unsigned hyper number;
};

struct ql_rpc_exchange_res {
	int status;
	string detail<QL_RPC_DETAIL_MAX>;
	unsigned hyper clock;
	unsigned hyper registrar_incarnation;
	unsigned hyper number;
	bool more;
	ql_rpc_endpoint endpoints<QL_RPC_EXCHANGE_MAX>;
	ql_rpc_withdrawal withdrawals<QL_RPC_EXCHANGE_MAX>;
	ql_rpc_domain domains<QL_RPC_DOMAINS_MAX>;
};

/*
 * An operator submits a patch, or repeats one with the same id to get its
 * answer.
 * new_version: the version that the patch results in; 0 for the next one.
 * whole: the text is not a patch but a document that replaces the current one.
 */
struct ql_rpc_patch_args {
	ql_rpc_greeting greeting;
	string id<QL_RPC_KEY_MAX>;
	unsigned hyper base_version;
	unsigned hyper new_version;
	bool whole;
	opaque patch<QL_RPC_PATCH_MAX>;
};

struct ql_rpc_patch_res {
	int status;
	string detail<QL_RPC_DETAIL_MAX>;
	unsigned hyper clock;
	unsigned hyper config_version;
	string leader<QL_RPC_ADDRESS_MAX>;
};

/*
 * A node, a registrar or an operator requests the document, or the changes
 * since known_version. With must_be_current the leader first has a quorum
 * confirm that it is the leader: it replies QL_E_PENDING with a read token, and
 * the request is repeated with that token.
 */
struct ql_rpc_document_args {
	ql_rpc_greeting greeting;
	unsigned hyper known_version;
	bool must_be_current;
	unsigned hyper read_token;
};

struct ql_rpc_document_res {
	int status;
	string detail<QL_RPC_DETAIL_MAX>;
	unsigned hyper clock;
	unsigned hyper config_version;
	bool whole_document;
	opaque document<QL_RPC_DOCUMENT_MAX>;
	ql_rpc_change changes<QL_RPC_CHANGES_MAX>;
	unsigned hyper read_token;
};

/* An operator requests a report on a topic from a process, as JSON text. */
struct ql_rpc_report_args {
	ql_rpc_greeting greeting;
	string topic<QL_RPC_NAME_MAX>;
	string filter<QL_RPC_DETAIL_MAX>;
};

struct ql_rpc_report_res {
	int status;
	string detail<QL_RPC_DETAIL_MAX>;
	unsigned hyper clock;
	opaque report<QL_RPC_DOCUMENT_MAX>;
};

/* The calling node cancels an attempt of a request. */
struct ql_rpc_cancel_args {
	ql_rpc_greeting greeting;
	unsigned hyper request;
	unsigned hyper attempt;
};

struct ql_rpc_cancel_res {
	int status;
	unsigned hyper clock;
};

/*
 * Tokens that a node asks for, for one team.
 * least: for requests that wait.
 * more: for requests that the node expects soon.
 */
struct ql_rpc_quota_ask {
	string team<QL_RPC_NAME_MAX>;
	unsigned int least;
	unsigned int more;
};

/*
 * Answer to one ask, at the same index.
 * wait_us: time until the team may have a token, when fewer than least are
 * granted.
 * unlimited: the team has no quota.
 */
struct ql_rpc_quota_grant {
	unsigned int granted;
	unsigned hyper wait_us;
	bool unlimited;
};

/* A node asks the leader of the replicas for tokens of the quotas of teams. */
struct ql_rpc_quota_args {
	ql_rpc_greeting greeting;
	ql_rpc_quota_ask asks<QL_RPC_QUOTA_MAX>;
};

/*
 * leader: address of the leader, or empty when it is not known.
 * valid_ms: how long the tokens may be spent, from when the node has sent the
 * call.
 * retry_ms: when to ask again if the leader does not grant tokens yet.
 */
struct ql_rpc_quota_res {
	int status;
	string detail<QL_RPC_DETAIL_MAX>;
	unsigned hyper clock;
	string leader<QL_RPC_ADDRESS_MAX>;
	unsigned int valid_ms;
	unsigned int retry_ms;
	ql_rpc_quota_grant grants<QL_RPC_QUOTA_MAX>;
};

program QL_CONTROL_PROGRAM {
	version QL_CONTROL_V1 {
		ql_rpc_lease_res QL_LEASE(ql_rpc_lease_args) = 1;
		ql_rpc_patch_res QL_PATCH(ql_rpc_patch_args) = 2;
		ql_rpc_document_res QL_DOCUMENT(ql_rpc_document_args) = 3;
		ql_rpc_report_res QL_REPORT(ql_rpc_report_args) = 4;
		ql_rpc_cancel_res QL_CANCEL(ql_rpc_cancel_args) = 5;
		ql_rpc_offer_res QL_OFFER(ql_rpc_offer_args) = 6;
		ql_rpc_exchange_res QL_EXCHANGE(ql_rpc_exchange_args) = 7;
		ql_rpc_quota_res QL_QUOTA(ql_rpc_quota_args) = 8;
	} = 1;
} = 0x20517a01;
