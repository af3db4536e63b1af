#include "quetzalloft/balancer.h"
#include "quetzalloft/clock.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace
{

constexpr uint64_t kMs = QL_US_PER_MS;
/* All calls of a step are sent before any of them is heard of. */
constexpr uint64_t kStepUs = 2 * kMs;
constexpr uint64_t kStartUs = 60 * QL_US_PER_S;
constexpr int kSeconds = 30, kWarmUpSeconds = 10;
/* When something happens to the first endpoint. */
constexpr int kEventSecond = 15, kSettledSecond = 20;
constexpr double kWorkUs = 50.0 * kMs;

enum class Event {
	kNone,
	kStartsCold,
	kLeaves,
	kSlows,
	kRefuses,
	kLies
};

/* News that never come. */
constexpr double kNever = 1e9;
const std::vector<double> kUnlike = {0.5, 1, 1, 1.5};
const std::vector<int> kDomains = {0, 0, 1, 2};

/*
 * A service and its load: load is the part of its capacity that is asked for,
 * domains are those of the endpoints in turn, lie is the occupancy that an
 * endpoint reports which lies.
 */
struct Load {
	const char *name = "";
	int n_callers = 100;
	double news_s = 0.1;
	std::vector<double> speeds = kUnlike;
	std::vector<int> domains = kDomains;
	int slots = 89;
	double load = 0.8;
	Event event = Event::kNone;
	double lie = 0;
};

void PrintTo(const Load &load, std::ostream *out)
{
	*out << load.name;
}

struct Endpoint {
	std::string gate;
	int domain;
	double speed;
	int running = 0;
	int waiting = 0;
	double slot_time = 0;
};

/* How full the endpoints were in one second. */
struct Second {
	double busiest;
	double mean;
	int calls;
	int refused;
	int crossed;
	/* Calls that were sent to the first endpoint. */
	int to_first;
};

/*
 * Callers, each with a balancer of its own, and endpoints that serve calls in
 * order. All callers hear news at the same moment, every news_s, as the news
 * between are lost.
 */
class Model
{
      public:
	Model(const Load &load, const ql_balancer_ops_t *ops) : load_(load)
	{
		random_ = g_rand_new_with_seed(7);
		for (int i = 0; i < load.n_callers; i++) {
			callers_.emplace_back();
			ql_balancer_init(&callers_.back().balancer, ops,
					 DomainName(i % 3).c_str(), random_);
		}
		for (size_t i = 0; i < load.speeds.size(); i++) {
			endpoints_.emplace_back();
			endpoints_[i].gate = "e" + std::to_string(i);
			endpoints_[i].domain =
				load.domains[i % load.domains.size()];
			endpoints_[i].speed = load.speeds[i];
			capacity_per_us_ +=
				load.slots * load.speeds[i] / kWorkUs;
			Announce((int)i, 1, kStartUs);
		}
	}

	~Model()
	{
		for (Caller &caller : callers_)
			ql_balancer_finish(&caller.balancer);
		g_rand_free(random_);
	}

	std::vector<Second> Run()
	{
		std::vector<Second> seconds;

		for (int second = 0; second < kSeconds; second++) {
			if (second == kEventSecond)
				Happen();
			seconds.push_back(RunSecond());
		}
		return seconds;
	}

      private:
	struct Caller {
		ql_balancer_t balancer = {};
		double typical_us = 0;
	};
	struct Attempt {
		int caller;
		int endpoint;
		ql_handle_t handle;
		uint64_t sent_us;
		uint64_t end_us;
	};

	static std::string DomainName(int domain)
	{
		return "d" + std::to_string(domain);
	}

	void Announce(int i, uint64_t incarnation, uint64_t age_us)
	{
		ql_endpoint_info_t info = {};

		g_strlcpy(info.gate, endpoints_[i].gate.c_str(),
			  sizeof(info.gate));
		g_strlcpy(info.failure_domain,
			  DomainName(endpoints_[i].domain).c_str(),
			  sizeof(info.failure_domain));
		info.incarnation = incarnation;
		info.age_us = age_us;
		info.slots = (uint32_t)load_.slots;
		for (Caller &caller : callers_)
			ql_balancer_add(&caller.balancer, &info, now_us_);
	}

	void Happen()
	{
		is_event_ = true;
		if (load_.event == Event::kSlows)
			endpoints_[0].speed *= 0.4;
		if (load_.event == Event::kStartsCold)
			Announce(0, 2, 0);
		if (load_.event == Event::kLeaves)
			for (Caller &caller : callers_)
				ql_balancer_remove(&caller.balancer, "e0");
	}

	bool IsFirstNow(int endpoint, Event event) const
	{
		return is_event_ && !endpoint && load_.event == event;
	}

	double Occupancy(const Endpoint &endpoint) const
	{
		return (double)(endpoint.running + endpoint.waiting) /
		       load_.slots;
	}

	double SpeedOf(int i) const
	{
		bool cold =
			IsFirstNow(i, Event::kStartsCold) &&
			now_us_ < kStartUs + (kEventSecond + 3) * QL_US_PER_S;

		return endpoints_[i].speed * (cold ? 0.5 : 1);
	}

	/* A gamma distribution of order 4: like most, without long tails. */
	double WorkUs()
	{
		double product = 1;

		for (int i = 0; i < 4; i++)
			product *= 1 - g_rand_double(random_);
		return -log(product) / 4 * kWorkUs;
	}

	void Start(Attempt attempt)
	{
		endpoints_[attempt.endpoint].running++;
		attempt.end_us =
			now_us_ +
			(uint64_t)(WorkUs() / SpeedOf(attempt.endpoint));
		running_.emplace(attempt.end_us, attempt);
	}

	void Answer(const Attempt &attempt, ql_outcome_t outcome)
	{
		Caller &caller = callers_[attempt.caller];
		auto *known = (const ql_endpoint_t *)ql_table_get(
			&caller.balancer.endpoints, attempt.handle);
		uint64_t news_us = (uint64_t)(load_.news_s * QL_US_PER_S);
		ql_attempt_result_t result = {};

		result.outcome = outcome;
		result.latency_us = MAX(now_us_ - attempt.sent_us, 1);
		result.typical_latency_us = caller.typical_us;
		result.has_occupancy = known && known->occupancy_us / news_us !=
							now_us_ / news_us;
		result.occupancy =
			IsFirstNow(attempt.endpoint, Event::kLies)
				? load_.lie
				: Occupancy(endpoints_[attempt.endpoint]);
		if (outcome == QL_OUTCOME_NOT_RUN) {
			result.reason = QL_REASON_OVERLOAD;
			second_.refused++;
		} else {
			caller.typical_us +=
				(caller.typical_us > 0 ? 0.05 : 1) *
				((double)result.latency_us - caller.typical_us);
		}
		ql_balancer_record_result(&caller.balancer, attempt.handle,
					  &result, now_us_);
	}

	void Call(int i)
	{
		Caller &caller = callers_[i];
		ql_pick_request_t request = {nullptr, 0, false,
					     caller.typical_us};
		ql_handle_t handle =
			ql_balancer_pick(&caller.balancer, &request, now_us_);
		auto *known = (const ql_endpoint_t *)
			ql_table_get(&caller.balancer.endpoints, handle);
		Attempt attempt = {i, atoi(known->info.gate + 1), handle,
				   now_us_, 0};
		Endpoint &endpoint = endpoints_[attempt.endpoint];

		second_.calls++;
		second_.crossed += endpoint.domain != i % 3;
		second_.to_first += !attempt.endpoint;
		if (IsFirstNow(attempt.endpoint, Event::kRefuses) ||
		    endpoint.waiting >= load_.slots) {
			Answer(attempt, QL_OUTCOME_NOT_RUN);
		} else if (endpoint.running < load_.slots) {
			Start(attempt);
		} else {
			waiting_[attempt.endpoint].push_back(attempt);
			endpoint.waiting++;
		}
	}

	void Finish()
	{
		while (!running_.empty() &&
		       running_.begin()->first <= now_us_) {
			Attempt attempt = running_.begin()->second;
			Endpoint &endpoint = endpoints_[attempt.endpoint];
			auto &waiting = waiting_[attempt.endpoint];

			running_.erase(running_.begin());
			endpoint.running--;
			if (!waiting.empty()) {
				Start(waiting.front());
				waiting.pop_front();
				endpoint.waiting--;
			}
			Answer(attempt, QL_OUTCOME_ANSWERED);
		}
	}

	Second RunSecond()
	{
		uint64_t end_us = now_us_ + QL_US_PER_S;

		second_ = {};
		for (Endpoint &endpoint : endpoints_)
			endpoint.slot_time = 0;
		for (; now_us_ < end_us; now_us_ += kStepUs) {
			Finish();
			credit_ += load_.load * capacity_per_us_ * kStepUs;
			for (; credit_ >= 1; credit_--)
				Call(g_rand_int_range(random_, 0,
						      load_.n_callers));
			for (Endpoint &endpoint : endpoints_)
				endpoint.slot_time += Occupancy(endpoint) *
						      kStepUs / QL_US_PER_S;
		}
		for (size_t i = 0; i < endpoints_.size(); i++) {
			if (IsGone((int)i))
				continue;
			second_.busiest = std::max(second_.busiest,
						   endpoints_[i].slot_time);
			second_.mean += endpoints_[i].slot_time /
					(double)(endpoints_.size() - IsGone(0));
		}
		return second_;
	}

	bool IsGone(int i) const
	{
		return IsFirstNow(i, Event::kLeaves) ||
		       IsFirstNow(i, Event::kRefuses);
	}

	const Load &load_;
	GRand *random_;
	std::deque<Caller> callers_;
	std::vector<Endpoint> endpoints_;
	std::map<int, std::deque<Attempt>> waiting_;
	std::multimap<uint64_t, Attempt> running_;
	double capacity_per_us_ = 0;
	double credit_ = 0;
	Second second_ = {};
	bool is_event_ = false;
	uint64_t now_us_ = kStartUs;
};

/* Means and worst values over the seconds from first on. */
struct Outcome {
	double ratio = 0;
	double busiest = 0;
	double worst_busiest = 0;
	double first_part = 0;
	double refused = 0;
	double crossed = 0;
};

Outcome RunModel(const Load &load, const ql_balancer_ops_t *ops, int first)
{
	auto model = std::make_unique<Model>(load, ops);
	std::vector<Second> seconds = model->Run();
	int n = kSeconds - first;
	double calls = 0;
	Outcome out;

	for (int i = first; i < kSeconds; i++) {
		out.ratio += seconds[i].busiest / seconds[i].mean / n;
		out.busiest += seconds[i].busiest / n;
		out.worst_busiest =
			std::max(out.worst_busiest, seconds[i].busiest);
		calls += seconds[i].calls;
		out.first_part += seconds[i].to_first;
		out.refused += seconds[i].refused;
		out.crossed += seconds[i].crossed;
	}
	out.first_part /= calls;
	out.refused /= calls;
	out.crossed /= calls;
	return out;
}

std::vector<double> Speeds(int n)
{
	std::vector<double> speeds;

	for (int i = 0; i < n; i++)
		speeds.push_back(0.5 + 1.2 * i / (n - 1));
	return speeds;
}

Load MakeLoad(const char *name, int n_callers, double news_s)
{
	Load load;

	load.name = name;
	load.n_callers = n_callers;
	load.news_s = news_s;
	return load;
}

Load MakeService(const char *name, std::vector<double> speeds,
		 std::vector<int> domains, int slots, double part)
{
	Load load;

	load.name = name;
	load.speeds = std::move(speeds);
	load.domains = std::move(domains);
	load.slots = slots;
	load.load = part;
	return load;
}

Load MakeEvent(const char *name, Event event, double lie = 0)
{
	Load load;

	load.name = name;
	load.load = 0.6;
	load.event = event;
	load.lie = lie;
	return load;
}

std::string CaseName(const testing::TestParamInfo<Load> &test)
{
	std::string name = test.param.name;

	for (char &c : name)
		c = g_ascii_isalnum(c) ? c : '_';
	return name;
}

class EvenLoad : public testing::TestWithParam<Load>
{
};

/*
 * Where there is room for all calls, no endpoint is full while others have
 * room, at any age of the news; nothing is refused for it.
 */
TEST_P(EvenLoad, NoEndpointIsFullWhileOthersHaveRoom)
{
	Outcome even =
		RunModel(GetParam(), &ql_balancer_even_load, kWarmUpSeconds);
	Outcome least_time =
		RunModel(GetParam(), &ql_balancer_least_time, kWarmUpSeconds);

	printf("busiest over mean %.2f, by least_time %.2f; busiest %.2f, "
	       "%.2f; worst second %.2f, %.2f; crossed %.2f, %.2f\n",
	       even.ratio, least_time.ratio, even.busiest, least_time.busiest,
	       even.worst_busiest, least_time.worst_busiest, even.crossed,
	       least_time.crossed);
	EXPECT_LT(even.busiest, 1);
	EXPECT_LT(even.ratio, 1 / GetParam().load);
	EXPECT_LT(even.ratio, least_time.ratio);
	EXPECT_EQ(0, even.refused);
}

INSTANTIATE_TEST_SUITE_P(
	Loads, EvenLoad,
	testing::Values(
		MakeLoad("1 caller, news 0.1 s old", 1, 0.1),
		MakeLoad("1 caller, news 1 s old", 1, 1),
		MakeLoad("1 caller, news 5 s old", 1, 5),
		MakeLoad("10 callers, news 0.1 s old", 10, 0.1),
		MakeLoad("10 callers, news 1 s old", 10, 1),
		MakeLoad("10 callers, news 5 s old", 10, 5),
		MakeLoad("100 callers, news 0.1 s old", 100, 0.1),
		MakeLoad("100 callers, news 1 s old", 100, 1),
		MakeLoad("100 callers, news 5 s old", 100, 5),
		MakeService("two in each domain", {0.6, 1, 1.4, 0.6, 1, 1.4},
			    {0, 0, 1, 1, 2, 2}, 89, 0.8),
		MakeService("wide, nearly full", kUnlike, kDomains, 150, 0.9),
		MakeService("16 endpoints", Speeds(16), kDomains, 40, 0.8),
		MakeService("100 endpoints", Speeds(100), kDomains, 20, 0.7)),
	CaseName);

class EvenLoadEvent : public testing::TestWithParam<Load>
{
};

/* What happens to one endpoint fills neither it nor the others. */
TEST_P(EvenLoadEvent, NoEndpointIsFullWhileOthersHaveRoom)
{
	Outcome even =
		RunModel(GetParam(), &ql_balancer_even_load, kSettledSecond);
	Outcome at_once =
		RunModel(GetParam(), &ql_balancer_even_load, kEventSecond);

	printf("busiest over mean %.2f, busiest %.2f, worst second %.2f, from "
	       "the event on %.2f; part of the first %.3f, refused %.3f\n",
	       even.ratio, even.busiest, even.worst_busiest,
	       at_once.worst_busiest, even.first_part, even.refused);
	EXPECT_LT(even.worst_busiest, 1);
	if (GetParam().event == Event::kStartsCold ||
	    GetParam().event == Event::kLeaves) {
		EXPECT_LT(at_once.worst_busiest, 1);
	}
}

INSTANTIATE_TEST_SUITE_P(
	Events, EvenLoadEvent,
	testing::Values(MakeEvent("starts cold", Event::kStartsCold),
			MakeEvent("leaves", Event::kLeaves),
			MakeEvent("turns slow", Event::kSlows),
			MakeEvent("refuses at once", Event::kRefuses),
			MakeEvent("reports that it is idle", Event::kLies, 0),
			MakeEvent("reports that it is full", Event::kLies,
				  100)),
	CaseName);

/* It gets what it takes to find out, of an even part of an eighth. */
TEST(EvenLoadRefusal, AnEndpointThatRefusesAtOnceDoesNotLookIdle)
{
	Outcome out = RunModel(MakeEvent("refuses", Event::kRefuses),
			       &ql_balancer_even_load, kSettledSecond);

	EXPECT_GT(out.first_part, 0);
	EXPECT_LT(out.first_part, 0.125 / 4);
}

/* Between domains, bytes cost: the own one goes first while it has room. */
TEST(EvenLoadDomains, StayInTheOwnDomainWhileItHasRoom)
{
	const Load cases[] = {
		MakeService("alike", {1, 1, 1}, {0, 1, 2}, 89, 0.8),
		MakeService("unlike with room", {0.7, 1, 1.3}, {0, 1, 2}, 89,
			    0.3),
	};

	for (const Load &load : cases) {
		SCOPED_TRACE(load.name);
		Outcome out =
			RunModel(load, &ql_balancer_even_load, kWarmUpSeconds);

		EXPECT_LT(out.crossed, 0.01);
	}
}

/* News that are lost cost evenness between domains, and no call. */
TEST(EvenLoadNews, WithoutNewsSlotsAndSpeedDecide)
{
	Load load = MakeLoad("no news", 100, kNever);
	Outcome out;

	load.domains = {0};
	out = RunModel(load, &ql_balancer_even_load, kWarmUpSeconds);
	EXPECT_LT(out.busiest, 1);
	EXPECT_EQ(0, out.refused);
}

struct NewsCase {
	const char *name;
	ql_outcome_t outcome;
	ql_reason_t reason;
	bool has_occupancy;
	double reported;
	double believed;
	bool is_news;
};

/* What a result tells of the occupancy of its endpoint. */
TEST(EvenLoadNews, RefusalsCountAsFull)
{
	const NewsCase cases[] = {
		{"answer", QL_OUTCOME_ANSWERED, QL_REASON_NONE, true, 0.4, 0.4,
		 true},
		{"answer without news", QL_OUTCOME_ANSWERED, QL_REASON_NONE,
		 false, 0, 0, false},
		{"refused at once", QL_OUTCOME_NOT_RUN, QL_REASON_OVERLOAD,
		 true, 0, 1, true},
		{"refused without news", QL_OUTCOME_NOT_RUN,
		 QL_REASON_ENDPOINT_REFUSED, false, 0, 1, true},
		{"refused with a queue", QL_OUTCOME_NOT_RUN, QL_REASON_OVERLOAD,
		 true, 1.4, 1.4, true},
		{"too late for its deadline", QL_OUTCOME_NOT_RUN,
		 QL_REASON_DEADLINE, true, 0.4, 0.4, true},
		{"malformed request", QL_OUTCOME_NOT_RUN, QL_REASON_BAD_REQUEST,
		 false, 0, 0, false},
		{"not connected", QL_OUTCOME_NOT_RUN, QL_REASON_CONNECT_FAILED,
		 false, 0, 0, false},
		{"lost", QL_OUTCOME_UNKNOWN, QL_REASON_CONNECTION_LOST, false,
		 0, 0, false},
	};

	for (const NewsCase &test : cases) {
		SCOPED_TRACE(test.name);
		GRand *random = g_rand_new_with_seed(1);
		ql_endpoint_info_t info = {};
		ql_pick_request_t request = {};
		ql_attempt_result_t result = {};
		ql_balancer_t balancer;
		ql_handle_t handle;

		strcpy(info.gate, "g");
		info.slots = 10;
		ql_balancer_init(&balancer, &ql_balancer_even_load, "d",
				 random);
		ql_balancer_add(&balancer, &info, kStartUs);
		handle = ql_balancer_pick(&balancer, &request, kStartUs);
		result.outcome = test.outcome;
		result.reason = test.reason;
		result.latency_us = 1000;
		result.has_occupancy = test.has_occupancy;
		result.occupancy = test.reported;
		ql_balancer_record_result(&balancer, handle, &result,
					  kStartUs + 1000);
		auto *endpoint =
			(const ql_endpoint_t *)ql_table_get(&balancer.endpoints,
							    handle);
		EXPECT_EQ(test.believed, endpoint->occupancy);
		EXPECT_EQ(test.is_news ? kStartUs + 1000 : 0,
			  endpoint->occupancy_us);
		EXPECT_EQ(test.is_news ? 0u : 1u, endpoint->sent_since);
		ql_balancer_finish(&balancer);
		g_rand_free(random);
	}
}

/* News that are older than a second say nothing of the spread. */
TEST(EvenLoadNews, SpreadIsThatOfTheLastSecond)
{
	const double reported[] = {0.2, 0.6, 1.2};
	GRand *random = g_rand_new_with_seed(1);
	ql_attempt_result_t result = {};
	ql_balancer_spread_t spread;
	ql_balancer_t balancer;

	ql_balancer_init(&balancer, &ql_balancer_even_load, "d", random);
	ql_balancer_get_spread(&balancer, &spread, kStartUs);
	EXPECT_EQ(0u, spread.n_known);
	result.outcome = QL_OUTCOME_ANSWERED;
	result.latency_us = 1000;
	result.has_occupancy = true;
	for (int i = 0; i < 3; i++) {
		ql_endpoint_info_t info = {};

		g_snprintf(info.gate, sizeof(info.gate), "g%d", i);
		info.slots = 10;
		result.occupancy = reported[i];
		ql_balancer_record_result(
			&balancer, ql_balancer_add(&balancer, &info, kStartUs),
			&result, kStartUs + (i ? QL_US_PER_S : 0));
	}
	ql_balancer_get_spread(&balancer, &spread, kStartUs + QL_US_PER_S + 1);
	EXPECT_EQ(2u, spread.n_known);
	EXPECT_EQ(30u, spread.slots);
	EXPECT_DOUBLE_EQ(0.9, spread.mean);
	EXPECT_DOUBLE_EQ(1.2, spread.busiest);
	EXPECT_DOUBLE_EQ(0.4 * 10 * 1.5, spread.idle_slots);
	ql_balancer_finish(&balancer);
	g_rand_free(random);
}

/* An endpoint that answers fast because it fails does not draw the load. */
TEST(EvenLoad, AFastFailureIsNotSpeed)
{
	constexpr int kEndpoints = 8, kPicks = 4000;
	GRand *random = g_rand_new_with_seed(1);
	ql_pick_request_t request = {};
	uint64_t now_us = kStartUs;
	int picks[kEndpoints] = {};
	std::vector<ql_handle_t> handles;
	ql_balancer_t balancer;

	ql_balancer_init(&balancer, &ql_balancer_even_load, "d", random);
	for (int i = 0; i < kEndpoints; i++) {
		ql_endpoint_info_t info = {};

		g_snprintf(info.gate, sizeof(info.gate), "g%d", i);
		info.slots = 10;
		handles.push_back(ql_balancer_add(&balancer, &info, kStartUs));
	}
	for (int i = 0; i < kPicks; i++, now_us += 10 * QL_US_PER_MS) {
		ql_handle_t handle =
			ql_balancer_pick(&balancer, &request, now_us);
		size_t index = (size_t)(std::find(handles.begin(),
						  handles.end(), handle) -
					handles.begin());
		ql_attempt_result_t result = {};

		ASSERT_LT(index, handles.size());
		picks[index]++;
		result.outcome = QL_OUTCOME_ANSWERED;
		result.failed = !index;
		result.latency_us = index ? 100 * QL_US_PER_MS : QL_US_PER_MS;
		result.typical_latency_us = 100.0 * QL_US_PER_MS;
		ql_balancer_record_result(&balancer, handle, &result, now_us);
	}
	EXPECT_LT(picks[0], kPicks / kEndpoints / 2);
	ql_balancer_finish(&balancer);
	g_rand_free(random);
}

} // namespace
