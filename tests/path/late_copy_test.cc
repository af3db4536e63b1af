#include "path_fixture.h"

namespace
{

const char *ROUTES =
	"{\"near\":{\"path\":\"/near/\",\"service\":\"a\",\"class\":\"low\","
	"\"idempotent\":false,\"deadline_ms\":60000},"
	"\"far\":{\"path\":\"/far/\",\"service\":\"b\",\"class\":\"low\","
	"\"idempotent\":false,\"deadline_ms\":60000}}";

/* When the copy is sent, relative to the second request. */
enum When {
	PIPELINED,
	BEFORE,
	AFTER,
	AFTER_IN_TWO_PARTS
};

struct Case {
	std::string name;
	/* The first response once more, as the peer sends it. */
	std::string copy;
	When when;
	/* Status of the response to the second request. */
	const char *status;
};

const char *HEAD = "HTTP/1.1 200 OK\r\nSeal: s\r\n"
		   "Quetzalloft-Outcome: answered\r\n"
		   "Quetzalloft-Reason: none\r\n";

std::string response(const char *id, const char *body)
{
	return std::string(HEAD) + id +
	       "Content-Length: " + std::to_string(strlen(body)) + "\r\n\r\n" +
	       body;
}

/* A body that looks like a response to the second request. */
const std::string NESTED = response("Id: y\r\n", "first");
const std::string REFUSAL = "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\n"
			    "Quetzalloft-Outcome: not-run\r\n"
			    "Quetzalloft-Reason: overload\r\n";

/*
 * A peer sends the response to a first request once more, late, on a connection
 * that is in use again. The next caller must not get it, and must not be told
 * that its request has not run.
 */
class LateCopy : public PathFixture,
		 public testing::WithParamInterface<std::tuple<Case, bool>>
{
      protected:
	std::unique_ptr<RawSocket> peer_;

	void SetUp() override
	{
		PathFixture::SetUp();
		set_document(ROUTES);
		register_endpoint();
		add_far_endpoint();
	}

	std::string request(const char *id)
	{
		const char *path = std::get<1>(GetParam()) ? "/far/" : "/near/";

		return std::string("GET ") + path +
		       " HTTP/1.1\r\nHost: h\r\nId: " + id + "\r\n\r\n";
	}

	/* The connection that carries the second request, old or new. */
	RawSocket *await_second()
	{
		int fd = -1;

		EXPECT_TRUE(event_loop.run_until([&] {
			fd = accept(endpoint_listener, nullptr, nullptr);
			return fd >= 0 || peer_->has("Id: y");
		}));
		if (fd < 0)
			return peer_.get();
		peer_ = std::make_unique<RawSocket>(fd);
		EXPECT_TRUE(event_loop.run_until(
			[&] { return peer_->has("Id: y"); }));
		return peer_.get();
	}
};

TEST_P(LateCopy, ReachesNoOtherCaller)
{
	const Case &test = std::get<0>(GetParam());
	const std::string &copy = test.copy;
	RawSocket first = connect_client(), second = connect_client();
	std::string own = response("Id: x\r\n", "first");
	size_t half = copy.size() / 2;

	first.send(request("x"));
	peer_ = accept_connection();
	ASSERT_TRUE(event_loop.run_until([&] { return peer_->has("Id: x"); }));
	peer_->send(test.when == PIPELINED ? own + copy : own);
	ASSERT_TRUE(event_loop.run_until([&] { return first.has("first"); }));
	if (test.when == BEFORE)
		peer_->send(copy);
	second.send(request("y"));
	RawSocket *peer = await_second();
	if (test.when == AFTER) {
		::send(peer->fd, copy.data(), copy.size(), MSG_NOSIGNAL);
	} else if (test.when == AFTER_IN_TWO_PARTS) {
		::send(peer->fd, copy.data(), half, MSG_NOSIGNAL);
		event_loop.run_iterations(5);
		::send(peer->fd, copy.data() + half, copy.size() - half,
		       MSG_NOSIGNAL);
	}
	event_loop.run_iterations(5);
	own = response("Id: y\r\n", "second");
	::send(peer->fd, own.data(), own.size(), MSG_NOSIGNAL);
	ASSERT_TRUE(
		event_loop.run_until([&] { return second.has("\r\n\r\n"); }));
	event_loop.run_iterations(5);
	second.poll();
	EXPECT_EQ(std::string::npos, second.received.find("first"))
		<< second.received;
	EXPECT_EQ(std::string::npos, second.received.find("not-run"))
		<< second.received;
	EXPECT_EQ(0u,
		  second.received.find(std::string("HTTP/1.1 ") + test.status))
		<< second.received;
}

std::vector<Case> cases()
{
	const std::pair<const char *, std::string> copies[] = {
		{"Whole", response("Id: x\r\n", "first")},
		{"WithoutId", response("", "first")},
		{"BodyLikeAResponse", response("Id: x\r\n", NESTED.c_str())},
		{"Refusal", REFUSAL + "Id: x\r\nContent-Length: 0\r\n\r\n"},
		{"RefusalWithoutId", REFUSAL + "Content-Length: 0\r\n\r\n"},
	};
	const std::pair<const char *, When> times[] = {
		{"Pipelined", PIPELINED},
		{"Before", BEFORE},
		{"After", AFTER},
		{"AfterInTwoParts", AFTER_IN_TWO_PARTS},
	};
	std::vector<Case> out;

	for (const auto &copy : copies)
		for (const auto &time : times) {
			bool is_late = time.second == AFTER ||
				       time.second == AFTER_IN_TWO_PARTS;
			bool has_id =
				copy.second.find("Id:") != std::string::npos;

			out.push_back({std::string(copy.first) + time.first,
				       copy.second, time.second,
				       is_late && !has_id ? "502" : "200"});
		}
	return out;
}

INSTANTIATE_TEST_SUITE_P(Peers, LateCopy,
			 testing::Combine(testing::ValuesIn(cases()),
					  testing::Bool()),
			 [](const auto &test) {
				 return std::string(std::get<1>(test.param)
							    ? "Gate"
							    : "Endpoint") +
					std::get<0>(test.param).name;
			 });

} // namespace
