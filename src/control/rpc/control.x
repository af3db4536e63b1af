/*
 * Control protocol between the processes of one cluster. Every request begins
 * with a greeting, which names the cluster and the sender.
 */

const QL_RPC_NAME_MAX = 63;
const QL_RPC_ADDRESS_MAX = 63;
const QL_RPC_KEY_MAX = 127;
const QL_RPC_DETAIL_MAX = 511;
const QL_RPC_DOCUMENT_MAX = 4194304;
const QL_RPC_PATCH_MAX = 1048576;
const QL_RPC_LOCAL_ENDPOINTS_MAX = 16;
const QL_RPC_INTEREST_MAX = 1024;
const QL_RPC_MEMBERS_MAX = 4096;
const QL_RPC_CHANGES_MAX = 256;
const QL_RPC_DOMAINS_MAX = 64;
const QL_RPC_SERVICES_MAX = 1024;
const QL_RPC_EXCHANGE_MAX = 256;
const QL_RPC_REGISTRARS_MAX = 32;
const QL_RPC_PROTOCOL_VERSION = 4;

struct ql_rpc_greeting {
	string cluster<QL_RPC_NAME_MAX>;
	string node<QL_RPC_NAME_MAX>;
	string failure_domain<QL_RPC_NAME_MAX>;
	unsigned hyper incarnation;
	unsigned hyper clock;
	unsigned int protocol;
};

/* One accepted patch: applying it to the base version gives the version. */
struct ql_rpc_change {
	unsigned hyper base_version;
	unsigned hyper config_version;
	unsigned hyper digest;
	opaque patch<QL_RPC_PATCH_MAX>;
};

enum ql_rpc_endpoint_state {
	QL_RPC_ENDPOINT_SERVING = 0,
	QL_RPC_ENDPOINT_LEAVING = 1,
	QL_RPC_ENDPOINT_GONE = 2
};

/*
 * What is known of an endpoint. Its failure domain is the one whose registrars
 * hold the lease; placement is that of its VM where the registrars serve
 * several, and else empty. The record with the higher epoch wins, then
 * the higher incarnation, then the later state; holder is the incarnation of
 * the registrar that holds the lease. A node that leases at several names one
 * of them, or 0 while none has answered.
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

/* A service that a node calls, with the digest of what it knows of it. */
struct ql_rpc_interest {
	string service<QL_RPC_NAME_MAX>;
	unsigned hyper digest;
};

/* What changed of a service, or all of it that the node is to know. */
struct ql_rpc_service {
	string service<QL_RPC_NAME_MAX>;
	bool whole;
	ql_rpc_endpoint endpoints<QL_RPC_MEMBERS_MAX>;
};

/*
 * What a registrar knows of a failure domain: for how long no registrar of
 * the domain has confirmed it, and whether an endpoint that the registrar
 * does not name is gone.
 */
struct ql_rpc_domain {
	string name<QL_RPC_NAME_MAX>;
	unsigned hyper age_ms;
	bool covered;
	bool stale;
	unsigned hyper digest;
};

/*
 * A node renews its lease at a registrar of its failure domain. It names the
 * services that it calls at first, when they change, when it is asked to, and
 * from time to time; otherwise the registrar goes by the last ones. A renewal
 * with a sequence that is not above the last one came late and is refused. A
 * conflict says that an endpoint that serves is known as leaving or gone; a
 * higher epoch brings it back, which a late renewal cannot do.
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
};

/* A registrar that is known to another one. */
struct ql_rpc_registrar {
	string address<QL_RPC_ADDRESS_MAX>;
};

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
};

/* A node gives its document to a registrar that is behind. */
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

/* A registrar asks another one for what changed there since a number. */
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
	ql_rpc_domain domains<QL_RPC_DOMAINS_MAX>;
};

/*
 * An operator submits a patch, or asks for the answer to one sent before. It
 * becomes the given version, or the next one if that is 0. With whole it is
 * not a patch but the document that replaces the one before.
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
 * Anyone asks for the document, or for what changed since a version. With
 * must_be_current the leader has a quorum confirm that it leads: it answers
 * QL_E_PENDING with a token, with which the same is asked again.
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

/* An operator asks a process for a report as JSON text. */
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

/* A caller's node gives up on an attempt. */
struct ql_rpc_cancel_args {
	ql_rpc_greeting greeting;
	unsigned hyper request;
	unsigned hyper attempt;
};

struct ql_rpc_cancel_res {
	int status;
	unsigned hyper clock;
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
	} = 1;
} = 0x20517a01;
