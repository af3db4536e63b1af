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
const QL_RPC_INTEREST_MAX = 128;
const QL_RPC_MEMBERS_MAX = 4096;
const QL_RPC_CHANGES_MAX = 256;
const QL_RPC_PROTOCOL_VERSION = 1;

struct ql_rpc_greeting {
	string cluster<QL_RPC_NAME_MAX>;
	string node<QL_RPC_NAME_MAX>;
	string failure_domain<QL_RPC_NAME_MAX>;
	unsigned hyper incarnation;
	unsigned hyper clock;
	unsigned int protocol;
};

/* One accepted patch: applying it to version - 1 gives version. */
struct ql_rpc_change {
	unsigned hyper config_version;
	unsigned hyper digest;
	opaque patch<QL_RPC_PATCH_MAX>;
};

enum ql_rpc_endpoint_state {
	QL_RPC_ENDPOINT_SERVING = 0,
	QL_RPC_ENDPOINT_LEAVING = 1,
	QL_RPC_ENDPOINT_GONE = 2
};

struct ql_rpc_endpoint {
	string service<QL_RPC_NAME_MAX>;
	string gate<QL_RPC_ADDRESS_MAX>;
	string node<QL_RPC_NAME_MAX>;
	string failure_domain<QL_RPC_NAME_MAX>;
	unsigned hyper incarnation;
	unsigned int slots;
	unsigned int connections;
	ql_rpc_endpoint_state state;
};

typedef string ql_rpc_name<QL_RPC_NAME_MAX>;

/* A node renews its lease at a registrar of its failure domain. */
struct ql_rpc_lease_args {
	ql_rpc_greeting greeting;
	unsigned hyper config_version;
	unsigned hyper registrar_incarnation;
	unsigned hyper members_version;
	bool leaving;
	ql_rpc_endpoint endpoints<QL_RPC_LOCAL_ENDPOINTS_MAX>;
	ql_rpc_name interest<QL_RPC_INTEREST_MAX>;
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
	unsigned hyper members_version;
	bool whole_members;
	ql_rpc_endpoint members<QL_RPC_MEMBERS_MAX>;
};

/* An operator submits a patch, or asks for the answer to one sent before. */
struct ql_rpc_patch_args {
	ql_rpc_greeting greeting;
	string id<QL_RPC_KEY_MAX>;
	unsigned hyper base_version;
	opaque patch<QL_RPC_PATCH_MAX>;
};

struct ql_rpc_patch_res {
	int status;
	string detail<QL_RPC_DETAIL_MAX>;
	unsigned hyper clock;
	unsigned hyper config_version;
	string leader<QL_RPC_ADDRESS_MAX>;
};

/* Anyone asks for the document, or for what changed since a version. */
struct ql_rpc_document_args {
	ql_rpc_greeting greeting;
	unsigned hyper known_version;
	bool must_be_current;
};

struct ql_rpc_document_res {
	int status;
	string detail<QL_RPC_DETAIL_MAX>;
	unsigned hyper clock;
	unsigned hyper config_version;
	bool whole_document;
	opaque document<QL_RPC_DOCUMENT_MAX>;
	ql_rpc_change changes<QL_RPC_CHANGES_MAX>;
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
	} = 1;
} = 0x20517a01;
