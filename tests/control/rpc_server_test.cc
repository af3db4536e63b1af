#include "control/rpc_server.h"
#include "quetzalloft/error.h"

#include <gtest/gtest.h>

TEST(RpcServer, RefusesTwoProgramsWithOneNumber)
{
	ql_rpc_server_t server = {};
	GError *error = nullptr;

	server.programs[0].number = 0x20517a7f;
	server.programs[1].number = 0x20517a7f;
	server.n_programs = 2;
	EXPECT_EQ(QL_E_EXISTS,
		  ql_rpc_server_start(&server, "127.0.0.1:1", &error));
	ASSERT_NE(nullptr, error);
	g_clear_error(&error);
}
