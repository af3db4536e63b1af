#include "listener_fixture.h"

#include <memory>
#include <vector>

namespace
{

constexpr uint64_t kUntilUs = 1000;

struct Case {
	const char *name;
	/* Which of three requests are answered as soon as they are read. */
	std::vector<bool> at_once;
	/* Which end for one that follows. */
	std::vector<bool> ends;
	/* How often each is told. */
	std::vector<int> told;
};

/* Three pipelined requests, each of which is told of those behind it. */
class Followed : public ListenerFixture,
		 public testing::WithParamInterface<Case>
{
      protected:
	struct Request {
		Followed *test;
		ql_http_exchange_t *exchange;
		size_t index;
		bool open = true;
		int told = 0;
	};

	std::vector<std::unique_ptr<Request>> requests;

	void SetUp() override
	{
		start_listening(take, this);
	}

	static void answer(Request *request)
	{
		std::string body = std::to_string(request->index);

		request->open = false;
		ql_http_exchange_write_head(request->exchange, 200, nullptr,
					    (int64_t)body.size());
		ql_http_exchange_write(request->exchange, body.data(),
				       body.size());
		ql_http_exchange_end(request->exchange);
	}

	static bool followed(void *data, uint64_t until_us)
	{
		auto *request = static_cast<Request *>(data);

		EXPECT_TRUE(request->open);
		EXPECT_EQ(kUntilUs, until_us);
		request->told++;
		if (!GetParam().ends[request->index])
			return false;
		answer(request);
		return true;
	}

	static void take(void *data, ql_http_exchange_t *exchange)
	{
		static const ql_http_exchange_ops_t ops = {[](void *) {},
							   nullptr, followed};
		auto *test = static_cast<Followed *>(data);
		auto request = std::make_unique<Request>();

		request->test = test;
		request->exchange = exchange;
		request->index = test->requests.size();
		exchange->ops = &ops;
		exchange->data = request.get();
		exchange->deadline_us = kUntilUs;
		test->requests.push_back(std::move(request));
		if (GetParam().at_once[test->requests.back()->index])
			answer(test->requests.back().get());
	}
};

TEST_P(Followed, IsToldAndMayEnd)
{
	RawSocket client = connect_client();
	size_t at = 0;

	for (int i = 0; i < 3; i++)
		client.send("GET / HTTP/1.1\r\n\r\n");
	ASSERT_TRUE(event_loop.run_until([&] { return requests.size() == 3; }));
	for (size_t i = 0; i < 3; i++)
		EXPECT_EQ(GetParam().told[i], requests[i]->told) << i;
	for (auto &request : requests)
		if (request->open)
			answer(request.get());
	for (const char *body : {"\r\n\r\n0", "\r\n\r\n1", "\r\n\r\n2"}) {
		ASSERT_TRUE(
			event_loop.run_until([&] { return client.has(body); }));
		EXPECT_LE(at, client.received.find(body));
		at = client.received.find(body);
	}
}

INSTANTIATE_TEST_SUITE_P(
	Cases, Followed,
	testing::Values(
		Case{"AllWait", {0, 0, 0}, {0, 0, 0}, {2, 1, 0}},
		Case{"TheFirstEnds", {0, 0, 0}, {1, 0, 0}, {1, 1, 0}},
		Case{"TheSecondEnds", {0, 0, 0}, {0, 1, 0}, {3, 1, 0}},
		Case{"TwoEnd", {0, 0, 0}, {1, 1, 0}, {1, 1, 0}},
		Case{"LetsOutOneThatIsReady", {0, 1, 0}, {1, 0, 0}, {1, 0, 0}},
		Case{"LetsOutTheOneThatFollows",
		     {0, 0, 1},
		     {1, 1, 0},
		     {1, 1, 0}},
		Case{"AllAreAnsweredAtOnce", {1, 1, 1}, {1, 1, 1}, {0, 0, 0}}),
	[](const auto &test) { return test.param.name; });

} // namespace
