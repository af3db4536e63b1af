#include "listener_fixture.h"

#include <memory>
#include <vector>

namespace
{

constexpr uint64_t kClientDeadlineUs = 1000;

struct Case {
	const char *name;
	/* Per request: whether its handler responds as soon as it is read. */
	std::vector<bool> respond_at_once;
	/* Per request: whether its handler responds when notified. */
	std::vector<bool> end_for_successor;
	/* Per request: expected calls of successor_received(). */
	std::vector<int> notifications;
};

/*
 * Three pipelined requests. The handler of each is notified of the requests
 * that are read behind it, until it has responded.
 */
class SuccessorReceived : public ListenerFixture,
			  public testing::WithParamInterface<Case>
{
      protected:
	struct Request {
		SuccessorReceived *test;
		ql_http_exchange_t *exchange;
		size_t index;
		bool in_flight = true;
		int notifications = 0;
	};

	std::vector<std::unique_ptr<Request>> requests;

	void SetUp() override
	{
		start_listening(handle_request, this);
	}

	static void respond(Request *request)
	{
		std::string body = std::to_string(request->index);

		request->in_flight = false;
		ql_http_exchange_write_head(request->exchange, 200, nullptr,
					    (int64_t)body.size());
		ql_http_exchange_write(request->exchange, body.data(),
				       body.size());
		ql_http_exchange_end(request->exchange);
	}

	static bool on_successor_received(void *data,
					  uint64_t client_deadline_us)
	{
		auto *request = static_cast<Request *>(data);

		EXPECT_TRUE(request->in_flight);
		EXPECT_EQ(kClientDeadlineUs, client_deadline_us);
		request->notifications++;
		if (!GetParam().end_for_successor[request->index])
			return false;
		respond(request);
		return true;
	}

	static void handle_request(void *data, ql_http_exchange_t *exchange)
	{
		static const ql_http_exchange_ops_t ops = {
			[](void *) {}, nullptr, on_successor_received};
		auto *test = static_cast<SuccessorReceived *>(data);
		auto request = std::make_unique<Request>();

		request->test = test;
		request->exchange = exchange;
		request->index = test->requests.size();
		exchange->ops = &ops;
		exchange->data = request.get();
		exchange->deadline_us = kClientDeadlineUs;
		test->requests.push_back(std::move(request));
		if (GetParam().respond_at_once[test->requests.back()->index])
			respond(test->requests.back().get());
	}
};

TEST_P(SuccessorReceived, NotifiesEarlierRequestsThatMayEnd)
{
	RawSocket client = connect_client();
	size_t at = 0;

	for (int i = 0; i < 3; i++)
		client.send("GET / HTTP/1.1\r\n\r\n");
	ASSERT_TRUE(event_loop.run_until([&] { return requests.size() == 3; }));
	for (size_t i = 0; i < 3; i++)
		EXPECT_EQ(GetParam().notifications[i],
			  requests[i]->notifications)
			<< i;
	for (auto &request : requests)
		if (request->in_flight)
			respond(request.get());
	for (const char *body : {"\r\n\r\n0", "\r\n\r\n1", "\r\n\r\n2"}) {
		ASSERT_TRUE(
			event_loop.run_until([&] { return client.has(body); }));
		EXPECT_LE(at, client.received.find(body));
		at = client.received.find(body);
	}
}

INSTANTIATE_TEST_SUITE_P(
	Cases, SuccessorReceived,
	testing::Values(
		Case{"NoneEnds", {0, 0, 0}, {0, 0, 0}, {2, 1, 0}},
		Case{"FirstEnds", {0, 0, 0}, {1, 0, 0}, {1, 1, 0}},
		Case{"SecondEnds", {0, 0, 0}, {0, 1, 0}, {3, 1, 0}},
		Case{"BothEnd", {0, 0, 0}, {1, 1, 0}, {1, 1, 0}},
		Case{"FirstEndsBeforeAnsweredSecond",
		     {0, 1, 0},
		     {1, 0, 0},
		     {1, 0, 0}},
		Case{"BothEndBeforeAnsweredThird",
		     {0, 0, 1},
		     {1, 1, 0},
		     {1, 1, 0}},
		Case{"AllRespondAtOnce", {1, 1, 1}, {1, 1, 1}, {0, 0, 0}}),
	[](const auto &test) { return test.param.name; });

} // namespace
