#include "path/front_explain.h"
#include "path/front_internal.h"
#include "path_fixture.h"
#include "quetzalloft/clock.h"
#include "quetzalloft/error.h"

#include <algorithm>

namespace
{

const char *ROUTES =
	"{\"get\":{\"path\":\"/get/\",\"service\":\"a\",\"class\":\"low\","
	"\"idempotent\":true,\"deadline_ms\":60000},"
	"\"open\":{\"path\":\"/open/\",\"service\":\"b\",\"class\":\"low\","
	"\"idempotent\":true,\"deadline_ms\":60000,\"anonymous\":true},"
	"\"split\":{\"path\":\"/split/\",\"host\":\"shop\","
	"\"split\":{\"a\":3,\"b\":1},\"class\":\"low\","
	"\"idempotent\":false,\"deadline_ms\":60000}}";
const char *TEAMS = "{\"red\":{\"keys\":[\"secret-1\"],\"class\":\"high\"},"
		    "\"blue\":{\"keys\":[\"secret-2\"],\"rate_per_s\":5,"
		    "\"burst\":7}}";
const uint64_t LEASE_MS = 60000;

/* What a request must not change. */
void append_bytes(std::string &out, const void *bytes, size_t n)
{
	out.append((const char *)bytes, n);
}

void append_array(std::string &out, const GArray *array)
{
	append_bytes(out, array->data,
		     array->len * g_array_get_element_size((GArray *)array));
}

class Explain : public PathFixture
{
      protected:
	size_t n_asks = 0;
	json_t *found = nullptr;
	GError *error = nullptr;

	void SetUp() override
	{
		key_lease_ms = LEASE_MS;
		PathFixture::SetUp();
		set_document(ROUTES, TEAMS);
		register_endpoint();
		add_far_endpoint();
		front.opts.ask_quota = [](void *data,
					  const ql_quota_wallet_t *) {
			static_cast<Explain *>(static_cast<PathFixture *>(data))
				->n_asks++;
		};
		prove();
	}

	void TearDown() override
	{
		json_decref(found);
		g_clear_error(&error);
		PathFixture::TearDown();
	}

	void prove()
	{
		ql_key_proof_t proof = {};

		proof.version = 1;
		proof.sent_ms = ql_clock_boot_ms();
		ql_front_prove_keys(&front, &proof);
	}

	int explain(const char *path, const char *key = "",
		    const char *host = "h", bool call = false)
	{
		ql_explain_request_t request = {};

		strcpy(request.host, host);
		strcpy(request.method, "GET");
		strcpy(request.path, path);
		strcpy(request.key, key);
		request.call = call;
		json_decref(found);
		g_clear_error(&error);
		return ql_front_explain(&front, &found, &request, &error);
	}

	/* Returns the value at a path of members, with "." between them. */
	std::string value(const std::string &path)
	{
		const json_t *json = found;
		std::string text;
		char **keys = g_strsplit(path.c_str(), ".", -1);

		for (char **key = keys; *key; key++)
			json = json_is_array(json)
				       ? json_array_get(json, atoi(*key))
				       : json_object_get(json, *key);
		g_strfreev(keys);
		char *dumped = json_dumps(json, JSON_ENCODE_ANY |
							JSON_REAL_PRECISION(6));
		text = dumped ? dumped : "absent";
		free(dumped);
		return text;
	}

	void append_service(std::string &out, const ql_front_service_t *service)
	{
		const ql_balancer_t *b = &service->balancer;

		append_bytes(out, service, sizeof(*service));
		append_bytes(out, b->endpoints.rows,
			     b->endpoints.capacity * b->endpoints.row_bytes);
		append_array(out, b->all);
		append_array(out, b->candidates);
		append_array(out, b->ejected);
	}

	void append_route(std::string &out, const ql_front_route_t *route)
	{
		append_bytes(out, route, sizeof(*route));
		for (guint i = 0; i < route->classes->len; i++)
			append_bytes(out, route->classes->pdata[i],
				     sizeof(ql_front_route_class_t));
	}

	void append_shares(std::string &out)
	{
		GHashTableIter iter;
		gpointer data;

		g_hash_table_iter_init(&iter, front.team_shares);
		while (g_hash_table_iter_next(&iter, nullptr, &data)) {
			append_bytes(out, data, sizeof(ql_team_shares_t));
			append_array(out, ((ql_team_shares_t *)data)->teams);
		}
	}

	void append_quota(std::string &out)
	{
		GHashTableIter iter;
		gpointer data;

		append_bytes(out, &front.quota, sizeof(front.quota));
		g_hash_table_iter_init(&iter, front.quota.accounts);
		while (g_hash_table_iter_next(&iter, nullptr, &data)) {
			append_bytes(out, data, sizeof(ql_quota_account_t));
			append_array(out,
				     ((ql_quota_account_t *)data)->batches);
		}
	}

	/* All state of the path that requests change, byte for byte. */
	std::string state()
	{
		std::string out;
		GHashTableIter iter;
		gpointer service;
		GRand *random = g_rand_copy(front.random);

		append_bytes(out, &counters, sizeof(counters));
		append_bytes(out, &front, sizeof(front));
		for (int i = 0; i < 8; i++)
			out += std::to_string(g_rand_int(random)) + " ";
		g_rand_free(random);
		for (size_t i = 0; i < front.n_routes; i++)
			append_route(out, front.routes[i]);
		g_hash_table_iter_init(&iter, front.services);
		while (g_hash_table_iter_next(&iter, nullptr, &service))
			append_service(out, (ql_front_service_t *)service);
		append_shares(out);
		append_quota(out);
		out += std::to_string(g_hash_table_size(front.services)) + " " +
		       std::to_string(g_hash_table_size(front.team_shares)) +
		       " " + std::to_string(g_hash_table_size(front.calls)) +
		       " " + std::to_string(n_asks) + " " +
		       std::to_string(wanted_services.size());
		return out;
	}

	bool endpoint_was_called()
	{
		event_loop.run_iterations(5);
		int fd = accept(endpoint_listener, nullptr, nullptr);

		if (fd >= 0)
			close(fd);
		return fd >= 0;
	}

	ql_front_route_t *route(size_t index)
	{
		return front.routes[index];
	}

	size_t route_index(const char *name)
	{
		for (size_t i = 0; i < front.n_routes; i++)
			if (!strcmp(front.doc->routes[i].name, name))
				return i;
		return SIZE_MAX;
	}

	/* Counts a request of a team, so that there is state of its class. */
	void offer_request(const char *name)
	{
		ql_front_call_t call = {};

		call.front = &front;
		call.doc = front.doc;
		call.route = &front.doc->routes[route_index("get")];
		call.team = ql_teams_find_name(&front.doc->teams, name);
		call.route_state = route(route_index("get"));
		call.route_class = ql_front__get_route_class(&call);
		ql_front__compare_shares(&call);
	}

	/* Makes the class of a route refuse all but probes. */
	void make_busy(const char *name, guint class_index)
	{
		ql_front_route_t *state = route(route_index(name));
		auto *own = (ql_front_route_class_t *)
				    state->classes->pdata[class_index];

		own->admission.best_effort.share = 0.02;
		own->admission.best_effort.in_progress = 3;
	}

	void give_tokens(uint32_t granted, uint64_t wait_us)
	{
		const ql_quota_grant_t grant = {granted, wait_us, false};
		ql_quota_waiter_t waiter = {};
		uint64_t now_us = ql_clock_boot_us();

		waiter.decided = [](void *, const ql_quota_result_t *) {};
		ql_quota_wallet_take(&front.quota, "blue", &waiter, now_us);
		ASSERT_TRUE(ql_quota_wallet_begin_ask(&front.quota, now_us));
		ql_quota_wallet_handle_reply(&front.quota, &grant, 1,
					     QL_QUOTA_VALIDITY_US, now_us);
	}
};

struct ErrorCase {
	const char *name;
	const char *path;
	const char *key;
	int expected;
	const char *message;
	void (*prepare)(ql_front_t *front);
};

const ErrorCase ERRORS[] = {
	{"unknown route", "/none", "secret-1", QL_E_NOT_FOUND, "no route",
	 nullptr},
	{"no key", "/get/", "", QL_E_MISSING_KEY, "need an API key", nullptr},
	{"unknown key", "/get/", "secret-3", QL_E_UNKNOWN_KEY, "no team",
	 nullptr},
	{"keys not current", "/get/", "secret-1", QL_E_PENDING, "cannot prove",
	 [](ql_front_t *front) {
		 ql_key_lease_init(&front->key_lease, LEASE_MS);
	 }},
	{"unknown key while not current", "/get/", "secret-3", QL_E_PENDING,
	 "cannot prove",
	 [](ql_front_t *front) {
		 ql_key_lease_init(&front->key_lease, LEASE_MS);
	 }},
	{"not ready", "/get/", "secret-1", QL_E_UNAVAILABLE, "not ready",
	 [](ql_front_t *front) { front->ready = false; }},
	{"leaving", "/get/", "secret-1", QL_E_UNAVAILABLE, "leaving",
	 [](ql_front_t *front) { front->draining = true; }},
	{"ends too late", "/get/", "secret-1", QL_E_UNAVAILABLE, "leaving",
	 [](ql_front_t *front) { front->end_us = 1; }},
};

TEST_F(Explain, TellsWhyThereIsNoAnswer)
{
	for (const ErrorCase &c : ERRORS) {
		SCOPED_TRACE(c.name);
		front.ready = true;
		front.draining = false;
		front.end_us = 0;
		prove();
		if (c.prepare)
			c.prepare(&front);
		std::string before = state();

		EXPECT_EQ(c.expected, explain(c.path, c.key));
		EXPECT_EQ(nullptr, found);
		ASSERT_NE(nullptr, error);
		EXPECT_NE(nullptr, strstr(error->message, c.message))
			<< error->message;
		EXPECT_EQ(nullptr, strstr(error->message, "secret"));
		EXPECT_TRUE(before == state());
	}
}

struct AnswerCase {
	const char *name;
	const char *path;
	const char *key;
	const char *host;
	bool call;
	std::vector<std::pair<const char *, const char *>> expected;
};

const AnswerCase ANSWERS[] = {
	{"team with a class",
	 "/get/x?q=1",
	 "secret-1",
	 "h",
	 false,
	 {{"route.name", "\"get\""},
	  {"team", "\"red\""},
	  {"class.name", "\"high.low\""},
	  {"keys.current", "true"},
	  {"quota", "null"},
	  {"admission.next_refused", "false"},
	  {"admission.next_chance", "1.0"},
	  {"service.name", "\"a\""},
	  {"service.split", "[]"},
	  {"balancer.likely", "\"127.0.0.1:1\""},
	  {"balancer.endpoints.0.candidate", "true"},
	  {"balancer.endpoints.0.occupancy", "null"},
	  {"outcome", "\"forwarded\""}}},
	{"team with a quota",
	 "/get/",
	 "secret-2",
	 "h",
	 false,
	 {{"team", "\"blue\""},
	  {"class.name", "\"low\""},
	  {"quota.rate_per_s", "5.0"},
	  {"quota.burst", "7.0"},
	  {"quota.tokens", "0"},
	  {"quota.next", "\"waits\""},
	  {"quota.room_in_ms", "null"},
	  {"outcome", "\"waits_for_quota\""}}},
	{"anonymous route",
	 "/open/",
	 "",
	 "h",
	 false,
	 {{"team", "null"},
	  {"route.anonymous", "true"},
	  {"service.name", "\"b\""},
	  {"outcome", "\"forwarded\""}}},
	{"split",
	 "/split/",
	 "secret-1",
	 "shop:80",
	 false,
	 {{"service.name", "\"a\""},
	  {"service.split.0.weight", "3"},
	  {"service.split.0.next", "true"},
	  {"service.split.1.weight", "1"},
	  {"service.split.1.next", "false"}}},
	{"call of a running request",
	 "/get/",
	 "",
	 "h",
	 true,
	 {{"call", "true"},
	  {"team", "null"},
	  {"admission", "null"},
	  {"quota", "null"},
	  {"outcome", "\"forwarded\""}}},
};

TEST_F(Explain, TellsWhereARequestWouldGoAndChangesNothing)
{
	offer_request("red");
	offer_request("blue");
	for (const AnswerCase &c : ANSWERS) {
		SCOPED_TRACE(c.name);
		std::string before = state();

		EXPECT_EQ(0, explain(c.path, c.key, c.host, c.call));
		EXPECT_TRUE(before == state());
		for (const auto &member : c.expected) {
			SCOPED_TRACE(member.first);
			EXPECT_EQ(member.second, value(member.first));
		}
		char *text = json_dumps(found, 0);
		EXPECT_EQ(nullptr, strstr(text, "secret")) << text;
		free(text);
		EXPECT_FALSE(endpoint_was_called());
	}
}

TEST_F(Explain, TellsThePartOfASplitThatIsNext)
{
	size_t index = route_index("split");

	for (int i = 0; i < 12; i++) {
		SCOPED_TRACE(i);
		ASSERT_EQ(0, explain("/split/", "secret-1", "shop"));
		std::string told = value("service.name");
		uint16_t chosen = ql_front_choose_service(&front, index);

		EXPECT_EQ(std::string("\"") + front.doc->services[chosen].name +
				  "\"",
			  told);
	}
}

struct QuotaCase {
	const char *name;
	uint32_t granted;
	uint64_t wait_us;
	const char *next;
	const char *tokens;
	const char *outcome;
	bool has_room_time;
};

const QuotaCase QUOTAS[] = {
	{"tokens held", 3, 0, "\"admitted\"", "2", "\"forwarded\"", false},
	{"used up", 0, 600000000, "\"refused\"", "0", "\"refused_by_quota\"",
	 true},
};

TEST_F(Explain, TellsOfTheTokensThatAreHeld)
{
	for (const QuotaCase &c : QUOTAS) {
		SCOPED_TRACE(c.name);
		g_hash_table_remove_all(front.quota.accounts);
		give_tokens(c.granted, c.wait_us);
		std::string before = state();

		ASSERT_EQ(0, explain("/get/", "secret-2"));
		EXPECT_TRUE(before == state());
		EXPECT_EQ(c.next, value("quota.next"));
		EXPECT_EQ(c.tokens, value("quota.tokens"));
		EXPECT_EQ(c.outcome, value("outcome"));
		EXPECT_EQ(c.has_room_time, value("quota.room_in_ms") != "null");
	}
}

TEST_F(Explain, TellsOfAnEarlyRefusal)
{
	make_busy("get", 0);
	std::string before = state();

	ASSERT_EQ(0, explain("/get/", "secret-2"));
	EXPECT_TRUE(before == state());
	EXPECT_EQ("true", value("admission.next_refused"));
	EXPECT_EQ("\"busy\"", value("admission.next_by"));
	EXPECT_EQ("3", value("admission.in_progress"));
	EXPECT_EQ("0.02", value("admission.share"));
	give_tokens(3, 0);
	ASSERT_EQ(0, explain("/get/", "secret-2"));
	EXPECT_EQ("\"refused_early\"", value("outcome"));
	ASSERT_EQ(0, explain("/get/", "secret-1"));
	EXPECT_EQ("\"forwarded\"", value("outcome"));
}

TEST_F(Explain, TellsOfAServiceWithoutEndpoints)
{
	ql_front_remove_endpoint(&front, "a", "127.0.0.1:1");
	ASSERT_EQ(0, explain("/get/", "secret-1"));
	EXPECT_EQ("\"no_endpoint\"", value("outcome"));
	EXPECT_EQ("null", value("balancer.likely"));
	EXPECT_TRUE(wanted_services.empty());
}

/* A look and the decision that follows it agree, whatever came before. */
TEST(ExplainLooks, AThrottleDoesWhatItsLookTells)
{
	ql_throttle_t throttle;
	GRand *random = g_rand_new_with_seed(7);
	uint64_t now_us = 1000000;
	int n_seen[5] = {};

	ql_throttle_init(&throttle);
	for (int i = 0; i < 5000; i++) {
		auto choice =
			(ql_throttle_choice_t)g_rand_int_range(random, 0, 3);
		ql_throttle_t copy = throttle;
		ql_throttle_verdict_t told =
			ql_throttle_look(&throttle, choice, now_us);

		ASSERT_EQ(0, memcmp(&copy, &throttle, sizeof(copy)));
		bool refused = ql_throttle_offer_chosen(&throttle, choice, 100,
							random, now_us)
				       .refuse;
		n_seen[told]++;
		if (told != QL_THROTTLE_CHANCE) {
			ASSERT_EQ(told == QL_THROTTLE_BUSY ||
					  told == QL_THROTTLE_OUT_OF_SHARE,
				  refused);
		}
		if (g_rand_int_range(random, 0, 3)) {
			ql_throttle_record_answer(&throttle,
						  g_rand_double(random) * 2.5,
						  20000, now_us);
			ql_throttle_finish_request(&throttle);
		}
		now_us += (uint64_t)g_rand_int_range(random, 1, 20000);
	}
	for (int i = 0; i < 5; i++)
		EXPECT_GT(n_seen[i], 0) << i;
	g_rand_free(random);
}

TEST(ExplainLooks, ATeamIsChosenAsItsLookTells)
{
	const char *names[] = {"red", "blue", "green"};
	ql_team_shares_t shares;
	GRand *random = g_rand_new_with_seed(7);
	uint64_t now_us = 1000000;

	ql_team_shares_init(&shares, random);
	for (int i = 0; i < 3000; i++) {
		const char *name = names[g_rand_int_range(random, 0, 30) % 3];
		double share = g_rand_double_range(random, 0.1, 1.1);
		auto told = ql_team_shares_look(&shares, name, 1.0 / 3, share,
						now_us);
		auto chosen = ql_team_shares_offer(&shares, name, 1.0 / 3,
						   share, now_us);

		if (told != QL_THROTTLE_RANDOM) {
			ASSERT_EQ(chosen, told) << i;
		}
		ASSERT_TRUE(i < 100 || told != QL_THROTTLE_RANDOM) << i;
		ql_team_shares_record(&shares, name,
				      chosen == QL_THROTTLE_TAKE);
		now_us += (uint64_t)g_rand_int_range(random, 1, 20000);
	}
	ql_team_shares_finish(&shares);
	g_rand_free(random);
}

class Balancer : public testing::TestWithParam<const char *>
{
};

/*
 * The endpoint that is likely is chosen most often, and only candidates are
 * chosen.
 */
TEST_P(Balancer, ChoosesTheLikelyEndpointMostOften)
{
	const uint64_t NOW_US = 100000000;
	GRand *random = g_rand_new_with_seed(7);
	ql_balancer_t balancer;
	ql_pick_request_t pick = {};
	ql_endpoint_look_t looks[4];
	int n_chosen[4] = {};

	ql_balancer_init(&balancer, ql_balancer_find(GetParam()), "d", random);
	for (int i = 0; i < 4; i++) {
		ql_endpoint_info_t info = {};

		g_snprintf(info.gate, sizeof(info.gate), "127.0.0.1:%d", i + 1);
		strcpy(info.failure_domain, "d");
		info.slots = 8;
		info.age_us = 50000000;
		ql_handle_t handle = ql_balancer_add(&balancer, &info, NOW_US);
		ql_attempt_result_t result = {};

		result.outcome = QL_OUTCOME_ANSWERED;
		result.latency_us = 1000 * (uint64_t)(i + 1);
		result.typical_latency_us = 2000;
		ql_balancer_record_result(&balancer, handle, &result, NOW_US);
		if (i == 3)
			((ql_endpoint_t *)ql_table_get(&balancer.endpoints,
						       handle))
				->ejected_until_us = NOW_US + 5000000;
	}
	ql_estimate_kind_t kind =
		ql_balancer_look(&balancer, &pick, NOW_US, looks);

	EXPECT_EQ(QL_OBSTACLE_EJECTED, looks[3].obstacle);
	EXPECT_FALSE(looks[3].candidate);
	for (int i = 0; i < 600; i++) {
		ql_handle_t handle = ql_balancer_pick(&balancer, &pick, NOW_US);
		auto *chosen =
			(ql_endpoint_t *)ql_table_get(&balancer.endpoints,
						      handle);

		ASSERT_TRUE(looks[chosen->position].candidate);
		n_chosen[chosen->position]++;
		chosen->in_progress = 0;
		chosen->sent_since = 0;
	}
	for (int i = 0; i < 4; i++) {
		if (looks[i].likely) {
			EXPECT_EQ(n_chosen[i],
				  *std::max_element(n_chosen, n_chosen + 4));
		}
	}
	EXPECT_EQ(kind != QL_ESTIMATE_NONE, looks[0].likely);
	ql_balancer_finish(&balancer);
	g_rand_free(random);
}

INSTANTIATE_TEST_SUITE_P(Policies, Balancer,
			 testing::Values("random", "two_choices", "least_time",
					 "even_load", "auto"));

} // namespace
