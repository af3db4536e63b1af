/*
 * Records that a replica stores on its disk. Each frame is written and synced
 * as a whole.
 */

const QL_JOURNAL_PAYLOAD_MAX = 8392704;
const QL_JOURNAL_ENTRIES_MAX = 1048576;
const QL_JOURNAL_SNAPSHOT_MAX = 67108864;

struct ql_rpc_journal_state {
	unsigned hyper identity;
	unsigned hyper term;
	unsigned hyper vote;
	unsigned hyper commit;
};

struct ql_rpc_journal_entry {
	unsigned hyper index;
	unsigned hyper term;
	unsigned int kind;
	opaque payload<QL_JOURNAL_PAYLOAD_MAX>;
};

/*
 * With restart set, the entries of earlier frames no longer count: the log
 * starts after the entry at base_index, whose term is base_term.
 */
struct ql_rpc_journal_frame {
	bool restart;
	unsigned hyper base_index;
	unsigned hyper base_term;
	ql_rpc_journal_state state;
	ql_rpc_journal_entry entries<QL_JOURNAL_ENTRIES_MAX>;
};

struct ql_rpc_journal_snapshot {
	unsigned hyper index;
	unsigned hyper term;
	opaque data<QL_JOURNAL_SNAPSHOT_MAX>;
};
