#include "node/http_client.h"
#include "quetzalloft/error.h"
#include "support/raw_server.h"

#include <gtest/gtest.h>

namespace
{

const char *COMPLETE_RESPONSE =
	"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole";

class HttpClient : public testing::Test
{
      protected:
	void SetUp() override
	{
		ql_http_client_init(&client);
	}

	void TearDown() override
	{
		ql_http_client_finish(&client);
	}

	int exchange(const RawServer &server, bool *sent,
		     std::string *body = nullptr)
	{
		std::string address = server.address();
		ql_http_request_t request = {};
		ql_http_response_t response;
		int ret;

		request.address = address.c_str();
		request.method = "POST";
		request.target = "/orders";
		request.timeout_ms = 5000;
		request.body_limit_bytes = 64;
		request.is_cancelled = is_cancelled;
		request.cancel_data = &cancelled;
		ql_http_response_init(&response);
		ret = ql_http_client_exchange(&client, &request, &response,
					      sent, nullptr);
		if (body)
			body->assign((char *)response.body->data,
				     response.body->len);
		ql_http_response_finish(&response);
		return ret;
	}

	static bool is_cancelled(void *data)
	{
		return *(bool *)data;
	}

	ql_http_client_t client;
	bool cancelled = false;
};

struct ResponseCase {
	std::string bytes;
	int expected;
};

class MalformedResponse : public HttpClient,
			  public testing::WithParamInterface<ResponseCase>
{
};

TEST_P(MalformedResponse, FailsTheExchange)
{
	RawServer server([](int) {
		return RawServer::Reply{GetParam().bytes, true};
	});
	bool sent;

	EXPECT_EQ(GetParam().expected, exchange(server, &sent));
	EXPECT_TRUE(sent);
	EXPECT_EQ(1, server.requests());
}

INSTANTIATE_TEST_SUITE_P(
	Bytes, MalformedResponse,
	testing::Values(
		ResponseCase{"", QL_E_IO},
		ResponseCase{"HTTP/1.1 200", QL_E_IO},
		ResponseCase{"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf",
			     QL_E_PROTOCOL},
		ResponseCase{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
			     "\r\n9\r\nhalf",
			     QL_E_PROTOCOL},
		ResponseCase{"HTTP/1.1 200 OK\r\nContent-Length: 65\r\n\r\n" +
				     std::string(65, 'x'),
			     QL_E_TOO_LARGE}));

class MalformedStatus : public HttpClient,
			public testing::WithParamInterface<const char *>
{
};

/* A status that HTTP does not have is not passed on as an answer. */
TEST_P(MalformedStatus, FailsTheExchange)
{
	RawServer server([](int) {
		return RawServer::Reply{std::string("HTTP/1.1 ") + GetParam() +
						"\r\nContent-Length: 2\r\n"
						"\r\nok",
					true};
	});
	bool sent;

	EXPECT_NE(0, exchange(server, &sent));
	EXPECT_TRUE(sent);
}

INSTANTIATE_TEST_SUITE_P(Statuses, MalformedStatus,
			 testing::Values("000 Trouble", "0", "001 One",
					 "099 Low", "101 Switching Protocols",
					 "600 High", "999 High", "2000 High"));

TEST_F(HttpClient, ReusesTheConnection)
{
	RawServer server([](int) {
		return RawServer::Reply{COMPLETE_RESPONSE, false};
	});
	std::string body;
	bool sent;

	EXPECT_EQ(0, exchange(server, &sent, &body));
	EXPECT_EQ("whole", body);
	EXPECT_EQ(0, exchange(server, &sent, &body));
	EXPECT_EQ(2, server.requests());
}

TEST_F(HttpClient, DoesNotRepeatARequestOnAClosedConnection)
{
	/*
	 * The server reads the second request on the persistent connection and
	 * closes it without a response.
	 */
	RawServer server([](int number) {
		return number == 1 ? RawServer::Reply{"", true}
				   : RawServer::Reply{COMPLETE_RESPONSE, false};
	});
	bool sent;

	EXPECT_EQ(0, exchange(server, &sent));
	EXPECT_NE(0, exchange(server, &sent));
	EXPECT_TRUE(sent);
	EXPECT_EQ(2, server.requests());
}

TEST_F(HttpClient, ReportsThatNothingWasSent)
{
	ql_http_request_t request = {};
	ql_http_response_t response;
	bool sent = true;

	/* Port 1 of loopback has no listener. */
	request.address = "127.0.0.1:1";
	request.method = "GET";
	request.target = "/";
	request.timeout_ms = 5000;
	ql_http_response_init(&response);
	EXPECT_EQ(QL_E_UNAVAILABLE,
		  ql_http_client_exchange(&client, &request, &response, &sent,
					  nullptr));
	EXPECT_FALSE(sent);
	ql_http_response_finish(&response);
}

TEST_F(HttpClient, StopsWhenCancelled)
{
	RawServer server([](int) { return RawServer::Reply{"", false}; });
	bool sent;

	cancelled = true;
	EXPECT_EQ(QL_E_CANCELLED, exchange(server, &sent));
}

} // namespace
