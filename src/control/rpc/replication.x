/*
 * Messages between the replicas of the configuration, and the calls that
 * operators make to one of them.
 */

%#include "control.h"

const QL_REPLICA_MEMBERS_MAX = 32;
const QL_REPLICA_ENTRIES_MAX = 256;
const QL_REPLICA_PIECE_MAX = 262144;
const QL_REPLICA_PAYLOAD_MAX = 8392704;
const QL_REPLICA_STATE_MAX = 67108864;
const QL_REPLICA_BATCH_MAX = 64;

enum ql_replica_entry_kind {
	QL_REPLICA_ENTRY_NONE = 0,
	QL_REPLICA_ENTRY_MEMBERS = 1,
	QL_REPLICA_ENTRY_PATCH = 2
};

struct ql_rpc_replica_entry {
	unsigned hyper term;
	unsigned int kind;
	opaque payload<QL_REPLICA_PAYLOAD_MAX>;
};

struct ql_rpc_replica_member {
	unsigned hyper id;
	string address<QL_RPC_ADDRESS_MAX>;
	bool voter;
};

struct ql_rpc_replica_members {
	ql_rpc_replica_member members<QL_REPLICA_MEMBERS_MAX>;
};

/* Payload of an entry of kind QL_REPLICA_ENTRY_PATCH. */
struct ql_rpc_replica_patch {
	string id<QL_RPC_KEY_MAX>;
	unsigned hyper base_version;
	unsigned hyper new_version;
	bool whole;
	opaque text<QL_RPC_PATCH_MAX>;
};

/* Content of a snapshot. */
struct ql_rpc_replica_snapshot {
	ql_rpc_replica_members members;
	opaque state<QL_REPLICA_STATE_MAX>;
};

enum ql_replica_message_type {
	QL_REPLICA_PRE_VOTE = 0,
	QL_REPLICA_PRE_VOTE_ANSWER = 1,
	QL_REPLICA_VOTE = 2,
	QL_REPLICA_VOTE_ANSWER = 3,
	QL_REPLICA_APPEND = 4,
	QL_REPLICA_APPEND_ANSWER = 5,
	QL_REPLICA_SNAPSHOT = 6,
	QL_REPLICA_SNAPSHOT_ANSWER = 7
};

/*
 * index and index_term: index and term of an entry: the last one in the log of
 * a candidate, the one before entries in an append, the last one that an answer
 * acknowledges or, when it rejects an append, suggests as the previous one, or
 * the last one in a snapshot.
 * round: the leader's read round; the answer returns it.
 * offset: position of piece in a snapshot of total bytes; in an answer, the
 * bytes received or the index of the append that is rejected.
 * clock_id and clock_ms: in an answer to an append, the clock of the sender and
 * its time. In an append, a time of the receiver's clock, named by clock_id: no
 * entry after proof_index had been committed then. clock_id is 0 for none.
 */
struct ql_rpc_replica_message {
	ql_replica_message_type type;
	bool granted;
	unsigned hyper from;
	unsigned hyper to;
	unsigned hyper term;
	unsigned hyper index;
	unsigned hyper index_term;
	unsigned hyper commit;
	unsigned hyper round;
	ql_rpc_replica_entry entries<QL_REPLICA_ENTRIES_MAX>;
	unsigned hyper offset;
	unsigned hyper total;
	opaque piece<QL_REPLICA_PIECE_MAX>;
	unsigned hyper clock_id;
	unsigned hyper clock_ms;
	unsigned hyper proof_index;
};

struct ql_rpc_replica_deliver_args {
	ql_rpc_greeting greeting;
	string address<QL_RPC_ADDRESS_MAX>;
	ql_rpc_replica_message messages<QL_REPLICA_BATCH_MAX>;
};

struct ql_rpc_replica_deliver_res {
	int status;
	string detail<QL_RPC_DETAIL_MAX>;
	unsigned hyper clock;
};

struct ql_rpc_replica_status_args {
	ql_rpc_greeting greeting;
};

/* A replica with log_index 0 and no members has never joined a cluster. */
struct ql_rpc_replica_status_res {
	int status;
	string detail<QL_RPC_DETAIL_MAX>;
	unsigned hyper clock;
	unsigned hyper id;
	unsigned hyper leader;
	string leader_address<QL_RPC_ADDRESS_MAX>;
	unsigned hyper term;
	string role<QL_RPC_NAME_MAX>;
	unsigned hyper log_index;
	unsigned hyper commit;
	unsigned hyper applied;
	unsigned hyper config_version;
	ql_rpc_replica_members members;
	bool members_settled;
};

enum ql_replica_change_kind {
	QL_REPLICA_ADD_LEARNER = 0,
	QL_REPLICA_PROMOTE = 1,
	QL_REPLICA_REMOVE = 2
};

/*
 * A membership change by an operator. The status is QL_E_PENDING until the
 * change is committed; the operator repeats the call until then.
 */
struct ql_rpc_replica_change_args {
	ql_rpc_greeting greeting;
	ql_replica_change_kind kind;
	unsigned hyper id;
	string address<QL_RPC_ADDRESS_MAX>;
};

struct ql_rpc_replica_change_res {
	int status;
	string detail<QL_RPC_DETAIL_MAX>;
	unsigned hyper clock;
	string leader_address<QL_RPC_ADDRESS_MAX>;
};

program QL_REPLICA_PROGRAM {
	version QL_REPLICA_V1 {
		ql_rpc_replica_deliver_res QL_REPLICA_DELIVER(ql_rpc_replica_deliver_args) = 1;
		ql_rpc_replica_status_res QL_REPLICA_STATUS(ql_rpc_replica_status_args) = 2;
		ql_rpc_replica_change_res QL_REPLICA_CHANGE(ql_rpc_replica_change_args) = 3;
	} = 1;
} = 0x20517a02;
