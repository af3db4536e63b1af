#include "control/rpc_server.h"
#include "quetzalloft/address.h"
#include "quetzalloft/error.h"

#include "control/rpc_client.h"
#include "support/own_address.h"

#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstring>
#include <string>
#include <vector>

namespace
{

const uint32_t PROGRAM = 0x20517a7e;
const u_int LARGE_BYTES = 4u << 20;
const unsigned int SERVER_PORT = 27983;

/* Handler: returns a text of the length in the argument. */
void handle_text_request(void *, const void *in, void *out)
{
	u_int length = *(const u_int *)in;
	char *text = (char *)malloc(length + 1);

	memset(text, 'x', length);
	text[length] = 0;
	*(char **)out = text;
}

bool_t xdr_length(XDR *xdrs, ...)
{
	va_list args;

	va_start(args, xdrs);
	u_int *length = va_arg(args, u_int *);
	va_end(args);
	return xdr_u_int(xdrs, length);
}

bool_t xdr_text(XDR *xdrs, ...)
{
	va_list args;

	va_start(args, xdrs);
	char **text = va_arg(args, char **);
	va_end(args);
	return xdr_string(xdrs, text, LARGE_BYTES);
}

const ql_rpc_procedure_t PROCEDURES[] = {
	{1, (xdrproc_t)xdr_length, (xdrproc_t)xdr_text, sizeof(u_int),
	 sizeof(char *), handle_text_request},
};

class RpcServer : public testing::Test
{
      protected:
	ql_rpc_server_t server = {};
	std::string address = own_address(SERVER_PORT);

	void SetUp() override
	{
		server.programs[0] = {PROGRAM, 1, PROCEDURES, 1, nullptr};
		server.n_programs = 1;
		ASSERT_EQ(0, ql_rpc_server_start(&server, address.c_str(),
						 nullptr));
	}

	void TearDown() override
	{
		ql_rpc_server_stop(&server);
	}

	int open_socket()
	{
		int fd = socket(AF_INET, SOCK_STREAM, 0);
		sockaddr_in server_address = {};

		EXPECT_EQ(0, ql_address_parse(&server_address, address.c_str(),
					      nullptr));
		EXPECT_EQ(0, connect(fd, (sockaddr *)&server_address,
				     sizeof(server_address)));
		return fd;
	}

	u_int request_text(u_int length)
	{
		ql_rpc_client_t client;
		char *text = nullptr;
		ql_rpc_call_t call = {1, (xdrproc_t)xdr_length, &length,
				      (xdrproc_t)xdr_text, &text};
		u_int n_received = UINT32_MAX;

		ql_rpc_client_init(&client, address.c_str(), PROGRAM, 1, 30000);
		if (!ql_rpc_client_call(&client, &call, nullptr))
			n_received = (u_int)strlen(text);
		xdr_free((xdrproc_t)xdr_text, &text);
		ql_rpc_client_finish(&client);
		return n_received;
	}
};

/* A record with a call of procedure 1, encoded as in RFC 5531. */
std::string call_record(uint32_t length)
{
	const uint32_t words[] = {
		0x80000000u + 44, 7, 0, 2, PROGRAM, 1, 1, 0, 0, 0, 0, length};
	std::string out;

	for (uint32_t word : words) {
		word = htonl(word);
		out.append((const char *)&word, sizeof(word));
	}
	return out;
}

TEST_F(RpcServer, RepliesWithSmallAndLargeResults)
{
	for (u_int length : {0u, 1u, 5u, 70000u, LARGE_BYTES})
		EXPECT_EQ(length, request_text(length));
	EXPECT_EQ(5u, server.calls);
}

/*
 * Guards against: the server spun while a peer read its reply in small pieces,
 * and answered no other peer. It occurred after a loss of power.
 */
TEST_F(RpcServer, SlowReaderGetsWholeReplyAndDelaysNoOther)
{
	int fd = open_socket();
	std::string record = call_record(LARGE_BYTES);
	std::vector<char> bytes(1 << 16);
	size_t n_received = 0;
	ssize_t n;

	ASSERT_EQ((ssize_t)record.size(),
		  send(fd, record.data(), record.size(), 0));
	for (int i = 0; i < 20; i++)
		EXPECT_EQ(10u, request_text(10));
	while (n_received < LARGE_BYTES &&
	       (n = recv(fd, bytes.data(), bytes.size(), 0)) > 0)
		n_received += (size_t)n;
	EXPECT_GE(n_received, LARGE_BYTES);
	close(fd);
}

struct MalformedBytes {
	const char *name;
	std::string bytes;
};

class RpcServerMalformed : public RpcServer,
			   public testing::WithParamInterface<MalformedBytes>
{
};

TEST_P(RpcServerMalformed, ClosesOnlyTheConnection)
{
	int fd = open_socket();
	char byte;

	ASSERT_GT(send(fd, GetParam().bytes.data(), GetParam().bytes.size(), 0),
		  0);
	EXPECT_LE(recv(fd, &byte, 1, 0), 0);
	close(fd);
	EXPECT_EQ(3u, request_text(3));
	EXPECT_EQ(1u, server.malformed);
}

INSTANTIATE_TEST_SUITE_P(
	Bytes, RpcServerMalformed,
	testing::Values(
		MalformedBytes{"HugeFragment",
			       std::string("\xff\xff\xff\xff", 4)},
		MalformedBytes{"NoMessage",
			       std::string("\x80\x00\x00\x04", 4) + "junk"},
		MalformedBytes{"EmptyRecord",
			       std::string("\x80\x00\x00\x00", 4)},
		MalformedBytes{"AnAnswer",
			       std::string("\x80\x00\x00\x0c", 4) +
				       std::string("\0\0\0\1\0\0\0\1\0\0\0\0",
						   12)}),
	[](const auto &malformed) { return malformed.param.name; });

} // namespace

TEST(RpcPrograms, RefusesTwoProgramsWithSameNumber)
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
