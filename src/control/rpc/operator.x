/*
 * Commands of operators to one process.
 */

%#include "control.h"

struct ql_rpc_drain_args {
	ql_rpc_greeting greeting;
};

struct ql_rpc_drain_res {
	int status;
	string detail<QL_RPC_DETAIL_MAX>;
	unsigned hyper clock;
};

program QL_OPERATOR_PROGRAM {
	version QL_OPERATOR_V1 {
		ql_rpc_drain_res QL_DRAIN(ql_rpc_drain_args) = 1;
	} = 1;
} = 0x20517a03;
