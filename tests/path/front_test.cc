#include "path_fixture.h"
#include "quetzalloft/clock.h"

#include <map>

namespace
{

const char *ROUTES =
	"{\"get\":{\"path\":\"/get/\",\"service\":\"a\",\"class\":\"low\","
	"\"idempotent\":true,\"deadline_ms\":60000,\"attempts\":2},"
	"\"order\":{\"path\":\"/order/\",\"service\":\"a\",\"class\":\"high\","
	"\"idempotent\":false,\"deadline_ms\":60000}}";

class Front : public PathFixture
{
      protected:
	void SetUp() override
	{
		PathFixture::SetUp();
		set_document(ROUTES);
		register_endpoint();
	}

	const ql_front_route_t *find_route_state(const char *name)
	{
		for (size_t i = 0; i < front.doc->n_routes; i++)
			if (!strcmp(front.doc->routes[i].name, name))
				return front.routes[i];
		return nullptr;
	}

	const ql_route_admission_t *find_admission(const char *name)
	{
		auto state = static_cast<const ql_front_route_class_t *>(
			g_ptr_array_index(find_route_state(name)->classes, 0));

		return &state->admission;
	}

	static std::string request(const char *path, const char *id)
	{
		return std::string("GET ") + path + " HTTP/1.1\r\nHost: h\r\n" +
		       "Id: " + id + "\r\nCaller: liar\r\n" +
		       "Quetzalloft-Service: b\r\n\r\n";
	}

	static std::string response(const char *id, const std::string &more,
				    const char *status = "200 OK")
	{
		return std::string("HTTP/1.1 ") + status + "\r\nId: " + id +
		       "\r\n" + more + "Content-Length: 2\r\n\r\nok";
	}
};

TEST_F(Front, ForwardsTheRequestAndItsResponse)
{
	RawSocket client = connect_client();

	client.send(request("/get/1?q=2", "x"));
	auto server = accept_connection();
	ASSERT_TRUE(
		event_loop.run_until([&] { return server->has("\r\n\r\n"); }));
	EXPECT_EQ(0u, server->received.find("GET /get/1?q=2 HTTP/1.1\r\n"));
	for (const char *line : {"Id: x\r\n", "Host: h\r\n", "Caller: a\r\n",
				 "Expect: i-1\r\n", "Time-Ms: "})
		EXPECT_NE(std::string::npos, server->received.find(line))
			<< line;
	EXPECT_EQ(std::string::npos, server->received.find("liar"));
	EXPECT_EQ(std::string::npos, server->received.find("Quetzalloft"));
	server->send(response("x", "Seal: s\r\nOther: o\r\n"));
	ASSERT_TRUE(
		event_loop.run_until([&] { return client.has("\r\n\r\nok"); }));
	for (const char *line : {"HTTP/1.1 200", "Seal: s\r\n", "Other: o\r\n"})
		EXPECT_NE(std::string::npos, client.received.find(line))
			<< line;
}

/* A node follows the services of a large document only once they are called. */
TEST_F(Front, AsksForTheEndpointsOfACalledService)
{
	set_document(
		"{\"one\":{\"path\":\"/one/\",\"service\":\"b\",\"class\":"
		"\"low\",\"idempotent\":true,\"deadline_ms\":60000},"
		"\"split\":{\"path\":\"/split/\",\"split\":{\"b\":1},"
		"\"class\":\"low\",\"idempotent\":false,"
		"\"deadline_ms\":60000},"
		"\"here\":{\"path\":\"/here/\",\"service\":\"a\",\"class\":"
		"\"low\",\"idempotent\":true,\"deadline_ms\":60000}}");
	for (const char *path : {"/split/", "/one/", "/one/"}) {
		SCOPED_TRACE(path);
		RawSocket client = connect_client();

		client.send(request(path, path));
		ASSERT_TRUE(event_loop.run_until(
			[&] { return client.has("\r\n\r\n"); }));
		EXPECT_NE(std::string::npos,
			  client.received.find("HTTP/1.1 503"));
		EXPECT_NE(std::string::npos,
			  client.received.find("Retry-After: "));
	}
	EXPECT_EQ(std::vector<std::string>{"b"}, wanted_services);
	add_far_endpoint();
	ql_front_find_service(&front, "b")->next_wanted_us = 1;
	RawSocket client = connect_client();

	client.send(request("/one/", "served"));
	auto server = accept_connection();
	ASSERT_TRUE(
		event_loop.run_until([&] { return server->has("\r\n\r\n"); }));
	EXPECT_EQ(1u, wanted_services.size());
	/* Each service is asked for, so that it stays followed. */
	RawSocket next = connect_client();

	next.send(request("/here/", "here"));
	server = accept_connection();
	EXPECT_EQ((std::vector<std::string>{"b", "a"}), wanted_services);
}

struct ResponseCase {
	const char *name;
	const char *path;
	/* Bytes sent by the endpoint, which may close the connection then. */
	const char *response;
	bool closes;
	const char *status;
	const char *outcome;
};

class FrontResponse : public Front,
		      public testing::WithParamInterface<ResponseCase>
{
};

/* The retry budget is empty, so there is only one attempt. */
TEST_P(FrontResponse, ReportsStatusAndOutcome)
{
	const ResponseCase &test = GetParam();
	RawSocket client = connect_client();

	ql_front_find_service(&front, "a")->budget.tokens = 0;
	client.send(request(test.path, "x"));
	auto server = accept_connection();
	ASSERT_TRUE(
		event_loop.run_until([&] { return server->has("\r\n\r\n"); }));
	server->send(test.response);
	if (test.closes)
		shutdown(server->fd, SHUT_RDWR);
	ASSERT_TRUE(
		event_loop.run_until([&] { return client.has("\r\n\r\n"); }));
	EXPECT_EQ(0u,
		  client.received.find(std::string("HTTP/1.1 ") + test.status))
		<< client.received;
	EXPECT_NE(std::string::npos,
		  client.received.find(std::string("Quetzalloft-Outcome: ") +
				       test.outcome));
	EXPECT_EQ(std::string(test.status) == "503",
		  client.received.find("Retry-After: ") != std::string::npos);
}

INSTANTIATE_TEST_SUITE_P(
	Responses, FrontResponse,
	testing::Values(
		ResponseCase{"ShedByTheEndpoint", "/order/1",
			     "HTTP/1.1 503 Busy\r\nId: x\r\nNot-Run: 1\r\n"
			     "Content-Length: 0\r\n\r\n",
			     false, "503", "not-run"},
		ResponseCase{"AnotherInstance", "/order/1",
			     "HTTP/1.1 421 Misdirected\r\nId: x\r\n"
			     "Content-Length: 0\r\n\r\n",
			     false, "503", "not-run"},
		ResponseCase{"RefusalWithoutId", "/order/1",
			     "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\n"
			     "Content-Length: 0\r\n\r\n",
			     false, "502", "unknown"},
		ResponseCase{"RateLimitWithoutId", "/order/1",
			     "HTTP/1.1 429 Slow down\r\nNot-Run: 1\r\n"
			     "Content-Length: 0\r\n\r\n",
			     false, "502", "unknown"},
		ResponseCase{
			"AnotherInstanceWithoutId", "/order/1",
			"HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n",
			false, "502", "unknown"},
		ResponseCase{"ServerErrorWithoutId", "/order/1",
			     "HTTP/1.1 500 Oops\r\nSeal: s\r\n"
			     "Content-Length: 0\r\n\r\n",
			     false, "502", "unknown"},
		ResponseCase{"ServerError", "/order/1",
			     "HTTP/1.1 500 Oops\r\nId: x\r\nSeal: s\r\n"
			     "Content-Length: 0\r\n\r\n",
			     false, "500", "answered"},
		ResponseCase{"ConnectionLost", "/order/1", "", true, "502",
			     "unknown"},
		ResponseCase{"Truncated", "/get/1",
			     "HTTP/1.1 200 OK\r\nId: x\r\nSeal: s\r\n"
			     "Content-Length: 9\r\n\r\nok",
			     true, "502", "unknown"},
		ResponseCase{
			"WithoutSeal", "/get/1",
			"HTTP/1.1 200 OK\r\nId: x\r\nContent-Length: 2\r\n\r\n"
			"ok",
			false, "502", "unknown"},
		ResponseCase{
			"ContentEncoding", "/get/1",
			"HTTP/1.1 200 OK\r\nId: x\r\nSeal: s\r\n"
			"Content-Encoding: gzip\r\nContent-Length: 2\r\n\r\nok",
			false, "502", "unknown"},
		ResponseCase{"NotHttp", "/order/1", "hello\r\n\r\n", false,
			     "502", "unknown"}),
	[](const auto &test) { return test.param.name; });

/* An endpoint in trouble answers with a status that HTTP does not have. */
class MalformedStatus : public Front,
			public testing::WithParamInterface<const char *>
{
};

TEST_P(MalformedStatus, IsNoAnswerAndAnotherAttemptMayFollow)
{
	const std::string malformed = response("x", "Seal: s\r\n", GetParam());
	RawSocket order = connect_client();

	order.send(request("/order/1", "x"));
	auto server = accept_connection();
	ASSERT_TRUE(
		event_loop.run_until([&] { return server->has("\r\n\r\n"); }));
	server->send(malformed);
	ASSERT_TRUE(
		event_loop.run_until([&] { return order.has("\r\n\r\n"); }));
	EXPECT_EQ(0u, order.received.find("HTTP/1.1 502")) << order.received;
	EXPECT_NE(std::string::npos,
		  order.received.find("Quetzalloft-Outcome: unknown"));
	EXPECT_EQ(std::string::npos, order.received.find("Seal"));
	EXPECT_EQ(1u, counter_value(QL_COUNT_BAD_ANSWERS));
	/* The request may have run; only an idempotent one is sent again. */
	ql_front_find_service(&front, "a")->budget.tokens = 1;
	RawSocket get = connect_client();
	get.send(request("/get/1", "x"));
	auto first = accept_connection();
	ASSERT_TRUE(
		event_loop.run_until([&] { return first->has("\r\n\r\n"); }));
	first->send(malformed);
	auto second = accept_connection();
	ASSERT_TRUE(
		event_loop.run_until([&] { return second->has("\r\n\r\n"); }));
	second->send(response("x", "Seal: s\r\n"));
	ASSERT_TRUE(
		event_loop.run_until([&] { return get.has("\r\n\r\nok"); }));
	EXPECT_EQ(0u, get.received.find("HTTP/1.1 200"));
}

INSTANTIATE_TEST_SUITE_P(Statuses, MalformedStatus,
			 testing::Values("000 Trouble", "000", "0", "1 One",
					 "99 Low", "099 Low",
					 "101 Switching Protocols", "600 High",
					 "999 High", "1000 High", "-1 Negative",
					 "2000 High", "20x Letters"));

/* Interim responses say nothing of the outcome. */
TEST_F(Front, WaitsForTheResponseBehindInterimOnes)
{
	RawSocket client = connect_client();

	client.send(request("/order/1", "x"));
	auto server = accept_connection();
	ASSERT_TRUE(
		event_loop.run_until([&] { return server->has("\r\n\r\n"); }));
	server->send("HTTP/1.1 100 Continue\r\n\r\n"
		     "HTTP/1.1 103 Early Hints\r\nLink: l\r\n\r\n" +
		     response("x", "Seal: s\r\n"));
	ASSERT_TRUE(
		event_loop.run_until([&] { return client.has("\r\n\r\nok"); }));
	EXPECT_EQ(0u, client.received.find("HTTP/1.1 200"));
}

TEST_F(Front, UpdatesCounters)
{
	RawSocket client = connect_client();

	client.send(request("/get/1", "x"));
	auto server = accept_connection();
	ASSERT_TRUE(
		event_loop.run_until([&] { return server->has("\r\n\r\n"); }));
	EXPECT_EQ(1u, counters.gauges[QL_GAUGE_GATE_RUNNING]);
	server->send(response("x", "Seal: s\r\n"));
	ASSERT_TRUE(
		event_loop.run_until([&] { return client.has("\r\n\r\n"); }));
	for (ql_counter_t counter :
	     {QL_COUNT_CLIENT_REQUESTS, QL_COUNT_CLIENT_ANSWERED,
	      QL_COUNT_ATTEMPTS, QL_COUNT_GATE_ADMITTED})
		EXPECT_EQ(1u, counter_value(counter))
			<< ql_counter_name(counter);
	for (ql_counter_t counter :
	     {QL_COUNT_CLIENT_NOT_RUN, QL_COUNT_RETRIES, QL_COUNT_REROUTES,
	      QL_COUNT_EARLY_REFUSALS, QL_COUNT_LOCAL_CALLS})
		EXPECT_EQ(0u, counter_value(counter))
			<< ql_counter_name(counter);
	for (const auto &latency : counters.latencies)
		EXPECT_EQ(1u, ql_histogram_count(&latency));
	EXPECT_EQ(0u, counters.gauges[QL_GAUGE_GATE_RUNNING]);
}

/* A request with a lost response is retried only if it is idempotent. */
TEST_F(Front, RetriesIdempotentRequestsOnly)
{
	for (const char *path : {"/order/1", "/get/1"}) {
		SCOPED_TRACE(path);
		RawSocket client = connect_client();
		uint64_t retries = counter_value(QL_COUNT_RETRIES);

		client.send(request(path, "x"));
		auto server = accept_connection();
		ASSERT_TRUE(event_loop.run_until(
			[&] { return server->has("\r\n\r\n"); }));
		shutdown(server->fd, SHUT_RDWR);
		if (!strcmp(path, "/get/1")) {
			auto retry = accept_connection();
			ASSERT_TRUE(event_loop.run_until(
				[&] { return retry->has("\r\n\r\n"); }));
			retry->send(response("x", "Seal: s\r\n"));
		}
		ASSERT_TRUE(event_loop.run_until(
			[&] { return client.has("\r\n\r\n"); }));
		EXPECT_EQ(strcmp(path, "/get/1") ? 0u : 1u,
			  counter_value(QL_COUNT_RETRIES) - retries);
	}
}

/*
 * Guards against a copy of an earlier refusal that an endpoint writes late on
 * its connection: the next call there could be taken for refused while it runs.
 */
TEST_F(Front, RefusalClosesTheConnectionToTheEndpoint)
{
	for (const char *refusal :
	     {"503 Busy\r\nNot-Run: 1", "429 Slow down\r\nNot-Run: 1",
	      "421 Misdirected"}) {
		SCOPED_TRACE(refusal);
		RawSocket client = connect_client();

		client.send(request("/order/1", "x"));
		auto server = accept_connection();
		ASSERT_TRUE(event_loop.run_until(
			[&] { return server->has("\r\n\r\n"); }));
		server->send(std::string("HTTP/1.1 ") + refusal +
			     "\r\nId: x\r\nContent-Length: 0\r\n\r\n");
		ASSERT_TRUE(event_loop.run_until(
			[&] { return client.has("HTTP/1.1 503"); }));
		EXPECT_TRUE(event_loop.run_until(
			[&] { return server->is_closed_by_peer(); }));
	}
}

/* The only endpoint refuses; a copy of its refusal could answer a retry. */
TEST_F(Front, RefusedOrderIsNotSentToTheSameEndpointAgain)
{
	RawSocket client = connect_client();

	ql_front_find_service(&front, "a")->budget.tokens = 1;
	client.send(request("/order/1", "x"));
	auto server = accept_connection();
	ASSERT_TRUE(
		event_loop.run_until([&] { return server->has("\r\n\r\n"); }));
	server->send("HTTP/1.1 503 Busy\r\nId: x\r\nNot-Run: 1\r\n"
		     "Content-Length: 0\r\n\r\n");
	ASSERT_TRUE(
		event_loop.run_until([&] { return client.has("\r\n\r\n"); }));
	EXPECT_EQ(0u, client.received.find("HTTP/1.1 503")) << client.received;
	EXPECT_EQ(1u, counter_value(QL_COUNT_ATTEMPTS));
}

TEST_F(Front, DisconnectCancelsIdempotentRequestsOnly)
{
	for (const char *path : {"/get/1", "/order/1"}) {
		SCOPED_TRACE(path);
		std::unique_ptr<RawSocket> server;
		uint64_t abandoned = counter_value(QL_COUNT_ABANDONED);

		{
			RawSocket client = connect_client();

			client.send(request(path, "x"));
			server = accept_connection();
			ASSERT_TRUE(event_loop.run_until(
				[&] { return server->has("\r\n\r\n"); }));
		}
		ASSERT_TRUE(event_loop.run_until([&] {
			return counter_value(QL_COUNT_CLIENT_CANCELLED) ==
			       (strcmp(path, "/get/1") ? 2u : 1u);
		}));
		if (!strcmp(path, "/get/1")) {
			EXPECT_TRUE(event_loop.run_until(
				[&] { return server->is_closed_by_peer(); }));
			EXPECT_EQ(abandoned + 1,
				  counter_value(QL_COUNT_ABANDONED));
			continue;
		}
		event_loop.run_iterations(20);
		EXPECT_FALSE(server->is_closed_by_peer());
		EXPECT_EQ(1u, gate.gate.in_progress);
		server->send(response("x", "Seal: s\r\n"));
		EXPECT_TRUE(event_loop.run_until(
			[&] { return gate.gate.in_progress == 0; }));
	}
}

/*
 * Guards against a draining node that accepts requests until it exits and then
 * drops them.
 */
TEST_F(Front, DrainRefusesNewRequestsAndFailsRemainingOnes)
{
	RawSocket running = connect_client(), late = connect_client();

	running.send(request("/order/1", "x"));
	auto server = accept_connection();
	ASSERT_TRUE(
		event_loop.run_until([&] { return server->has("\r\n\r\n"); }));
	front.draining = true;
	late.send(request("/order/2", "y"));
	ASSERT_TRUE(event_loop.run_until([&] { return late.has("\r\n\r\n"); }));
	EXPECT_EQ(0u, late.received.find("HTTP/1.1 503"));
	EXPECT_NE(std::string::npos, late.received.find("not-run"));
	ql_front_fail_all(&front);
	ASSERT_TRUE(
		event_loop.run_until([&] { return running.has("\r\n\r\n"); }));
	EXPECT_EQ(0u, running.received.find("HTTP/1.1 502"));
	EXPECT_EQ(0u, g_hash_table_size(front.calls));
}

struct StopCase {
	const char *description;
	/* Typical latency of the route and time until the end, in seconds. */
	uint64_t typical_s;
	uint64_t left_s;
	bool is_refused;
};

/*
 * Guards against a request that comes late in the grace time of a stop, is
 * passed on, and is cut off at the end.
 */
TEST_F(Front, StopRefusesRequestsThatWouldNotEndInTime)
{
	const StopCase cases[] = {
		{"no stop", 10, 0, false},
		{"enough time", 1, 5, false},
		{"latency not known", 0, 5, false},
		{"too little time", 10, 5, true},
	};

	for (const StopCase &test : cases) {
		SCOPED_TRACE(test.description);
		RawSocket client = connect_client();
		uint64_t now = ql_loop_now_us(&event_loop.loop);

		for (size_t i = 0; i < front.n_routes; i++)
			front.routes[i]->typical_latency_us =
				(double)(test.typical_s * QL_US_PER_S);
		front.end_us =
			test.left_s ? now + test.left_s * QL_US_PER_S : 0;
		client.send(request("/order/1", "x"));
		if (!test.is_refused) {
			auto server = accept_connection();
			EXPECT_TRUE(event_loop.run_until(
				[&] { return server->has("\r\n\r\n"); }));
			continue;
		}
		ASSERT_TRUE(event_loop.run_until(
			[&] { return client.has("\r\n\r\n"); }));
		EXPECT_EQ(0u, client.received.find("HTTP/1.1 503"));
		EXPECT_NE(std::string::npos, client.received.find("not-run"));
		EXPECT_NE(std::string::npos,
			  client.received.find("Retry-After"));
	}
}

TEST_F(Front, NoRouteIsReportedOnlyWhenReady)
{
	RawSocket client = connect_client();

	front.ready = false;
	client.send(request("/unknown/1", "x"));
	ASSERT_TRUE(
		event_loop.run_until([&] { return client.has("\r\n\r\n"); }));
	EXPECT_EQ(0u, client.received.find("HTTP/1.1 503"));
	front.ready = true;
	client.send(request("/unknown/1", "x"));
	ASSERT_TRUE(event_loop.run_until([&] { return client.has("404"); }));
}

/* A call by the local endpoint has the class of its parent request. */
TEST_F(Front, CallsHaveTheClassOfTheirParent)
{
	RawSocket client = connect_client(), child = connect_client();

	client.send(request("/order/1", "p"));
	auto server = accept_connection();
	ASSERT_TRUE(
		event_loop.run_until([&] { return server->has("\r\n\r\n"); }));
	child.send(request("/get/1", "p.c"));
	auto second = accept_connection();
	ASSERT_TRUE(
		event_loop.run_until([&] { return second->has("\r\n\r\n"); }));
	EXPECT_EQ(2u, gate.gate.running[5]);
	EXPECT_EQ(0u, gate.gate.running[1]);
	server->send(response("p", "Seal: s\r\n"));
	second->send(response("p.c", "Seal: s\r\n"));
	ASSERT_TRUE(event_loop.run_until([&] { return child.has("ok"); }));
}

/* The calls of a run that is a repeat count as repeats of their service. */
TEST_F(Front, CallsOfARepeatChargeTheRetryBudget)
{
	RawSocket client = connect_client(), child = connect_client();
	ql_retry_budget_t *budget = &ql_front_find_service(&front, "a")->budget;

	budget->ratio = 0;
	client.send(request("/get/1", "p"));
	auto server = accept_connection();
	ASSERT_TRUE(
		event_loop.run_until([&] { return server->has("\r\n\r\n"); }));
	shutdown(server->fd, SHUT_RDWR);
	auto retry = accept_connection();
	ASSERT_TRUE(
		event_loop.run_until([&] { return retry->has("\r\n\r\n"); }));
	EXPECT_EQ(0, budget->tokens);
	EXPECT_EQ(0, budget->shared_tokens);
	child.send(request("/get/2", "p.c"));
	auto second = accept_connection();
	ASSERT_TRUE(
		event_loop.run_until([&] { return second->has("\r\n\r\n"); }));
	EXPECT_EQ(-1, budget->shared_tokens);
	retry->send(response("p", "Seal: s\r\n"));
	second->send(response("p.c", "Seal: s\r\n"));
	ASSERT_TRUE(event_loop.run_until([&] { return child.has("ok"); }));
}

/*
 * Guards against a guaranteed share that is applied to single calls: no request
 * of the class gets all of its calls admitted, so none succeeds (incident SHORT
 * of tandfe).
 */
TEST_F(Front, GuaranteedRequestsHaveTheHighestClass)
{
	constexpr int kRequests = 16;
	std::vector<RawSocket> clients;
	std::vector<std::unique_ptr<RawSocket>> servers;
	int raised = 0;

	gate.report.slots = kRequests;
	for (int i = 0; i < kRequests; i++) {
		clients.push_back(connect_client());
		clients.back().send(request("/get/1", "x"));
		ASSERT_TRUE(event_loop.run_until([&] {
			return gate.gate.in_progress +
				       ql_gate_queue_length(&gate.gate.queue) ==
			       (uint32_t)i + 1;
		}));
		raised = (int)(gate.gate.running[5] +
			       gate.gate.queue.waiting[5]);
	}
	EXPECT_EQ(kRequests / 8, raised);
}

/* The queueing delay of a call counts as pressure of its parent request. */
TEST_F(Front, PressureOfACallIsReportedForItsParent)
{
	RawSocket parent = connect_client(), other = connect_client(),
		  child = connect_client();
	auto share = [&] { return find_admission("order")->best_effort.share; };

	gate.gate.times.lower_quartile_us = 1;
	parent.send(request("/order/1", "p"));
	auto parent_server = accept_connection();
	other.send(request("/get/1", "q"));
	auto other_server = accept_connection();
	ASSERT_TRUE(event_loop.run_until(
		[&] { return other_server->has("\r\n\r\n"); }));
	child.send(request("/get/2", "p.c"));
	ASSERT_TRUE(event_loop.run_until(
		[&] { return ql_gate_queue_length(&gate.gate.queue) == 1; }));
	event_loop.run_iterations(5);
	other_server->send(response("q", "Seal: s\r\n"));
	ASSERT_TRUE(event_loop.run_until([&] { return other.has("ok"); }));
	ASSERT_TRUE(event_loop.run_until(
		[&] { return other_server->has("Id: p.c"); }));
	other_server->send(response("p.c", "Seal: s\r\n"));
	ASSERT_TRUE(event_loop.run_until([&] { return child.has("ok"); }));
	EXPECT_EQ(1, share());
	parent_server->send(response("p", "Seal: s\r\n"));
	ASSERT_TRUE(event_loop.run_until([&] { return parent.has("ok"); }));
	EXPECT_LT(share(), 1);
	/* The state of a route is kept across documents. */
	set_document(ROUTES);
	EXPECT_LT(share(), 1);
}

/*
 * Guards against overload that is not detected while configuration documents
 * change faster than requests complete (incident SHORT of tandfe).
 */
TEST_F(Front, RouteStateCountsRequestsAcrossDocuments)
{
	RawSocket client = connect_client(), second = connect_client();

	client.send(request("/order/1", "p"));
	auto server = accept_connection();
	ASSERT_TRUE(
		event_loop.run_until([&] { return server->has("\r\n\r\n"); }));
	set_document(ROUTES);
	EXPECT_EQ(1u, find_admission("order")->best_effort.in_progress);
	second.send(request("/order/2", "q"));
	auto other = accept_connection();
	ASSERT_TRUE(
		event_loop.run_until([&] { return other->has("\r\n\r\n"); }));
	set_document(ROUTES);
	EXPECT_EQ(2u, find_admission("order")->best_effort.in_progress);
	event_loop.run_iterations(5);
	ql_local_gate_add_pressure(&gate, "p", QL_PRESSURE_MAX);
	server->send(response("p", "Seal: s\r\n"));
	ASSERT_TRUE(event_loop.run_until([&] { return client.has("ok"); }));
	EXPECT_EQ(1u, find_admission("order")->best_effort.in_progress);
	EXPECT_LT(find_admission("order")->best_effort.share, 1);
	EXPECT_GT(find_route_state("order")->typical_latency_us, 0);
}

/* A request completes although its route was removed. */
TEST_F(Front, CompletesRequestsOfARemovedRoute)
{
	RawSocket client = connect_client();

	client.send(request("/order/1", "p"));
	auto server = accept_connection();
	ASSERT_TRUE(
		event_loop.run_until([&] { return server->has("\r\n\r\n"); }));
	set_document("{\"get\":{\"path\":\"/get/\",\"service\":\"a\","
		     "\"class\":\"low\",\"idempotent\":true,"
		     "\"deadline_ms\":60000}}");
	server->send(response("p", "Seal: s\r\n"));
	ASSERT_TRUE(event_loop.run_until([&] { return client.has("ok"); }));
	EXPECT_EQ(1u, counter_value(QL_COUNT_CLIENT_ANSWERED));
}

/* Pressure for a parent that does not run any more is ignored. */
TEST_F(Front, IgnoresPressureForAnUnknownParent)
{
	RawSocket client = connect_client();

	client.send(request("/order/1", "p"));
	auto server = accept_connection();
	ASSERT_TRUE(
		event_loop.run_until([&] { return server->has("\r\n\r\n"); }));
	ql_local_gate_add_pressure(&gate, "gone", 4);
	server->send(response("p", "Seal: s\r\n"));
	ASSERT_TRUE(event_loop.run_until([&] { return client.has("ok"); }));
	for (size_t i = 0; i < front.doc->n_routes; i++)
		EXPECT_EQ(1, find_admission(front.doc->routes[i].name)
				     ->best_effort.share);
}

TEST_F(Front, SplitFollowsItsWeights)
{
	std::map<uint16_t, int> requests;

	set_document("{\"r\":{\"path\":\"/\",\"split\":{\"a\":90,\"b\":10},"
		     "\"class\":\"low\",\"idempotent\":true,"
		     "\"deadline_ms\":1000}}");
	for (int i = 0; i < 200; i++)
		requests[ql_front_choose_service(&front, 0)]++;
	EXPECT_EQ(180, requests[0]);
	EXPECT_EQ(20, requests[1]);
}

} // namespace
