#include "path_fixture.h"
#include "quetzalloft/error.h"

namespace
{

using LocalGate = PathFixture;

struct Step {
	const char *description;
	const char *instance;
	uint64_t incarnation;
	uint64_t sequence;
	bool draining;
	bool is_serving;
	const char *instance_after;
};

/* Reports arrive late, repeatedly, and from earlier runs of the process. */
TEST_F(LocalGate, IgnoresReportsThatAreNotNewer)
{
	const Step steps[] = {
		{"first", "i-1", 100, 3, false, true, "i-1"},
		{"draining", "i-1", 100, 4, true, false, "i-1"},
		{"delayed report", "i-1", 100, 2, false, false, "i-1"},
		{"same report again", "i-1", 100, 4, false, false, "i-1"},
		{"other instance ID, same incarnation", "i-9", 100, 9, false,
		 false, "i-1"},
		{"new run", "i-2", 200, 1, false, true, "i-2"},
		{"earlier run", "i-1", 100, 50, true, true, "i-2"},
		{"same instance ID, new incarnation", "i-2", 300, 1, false,
		 true, "i-2"},
		{"draining again", "i-2", 300, 2, true, false, "i-2"},
	};

	for (const Step &step : steps) {
		SCOPED_TRACE(step.description);
		ql_instance_report_t next =
			make_report(step.instance, step.incarnation,
				    step.sequence, step.draining);

		EXPECT_EQ(0, ql_local_gate_apply_report(&gate, &next));
		EXPECT_EQ(step.is_serving, ql_local_gate_is_serving(&gate));
		EXPECT_STREQ(step.instance_after, gate.report.instance);
	}
}

TEST_F(LocalGate, RefusesReportsOfOtherEndpoints)
{
	ql_instance_report_t service = make_report("i-1", 1, 1),
			     address = make_report("i-1", 1, 1);

	strcpy(service.service, "b");
	strcpy(address.address, "127.0.0.1:1");
	EXPECT_EQ(QL_E_DENIED, ql_local_gate_apply_report(&gate, &service));
	EXPECT_EQ(QL_E_DENIED, ql_local_gate_apply_report(&gate, &address));
	EXPECT_FALSE(gate.has_report);
}

constexpr uint64_t WALL_MS = 1700000000000;

struct ReportCase {
	const char *description;
	const char *instance;
	const char *service;
	/* NULL for the address of the local endpoint. */
	const char *address;
	uint64_t incarnation;
	uint64_t sequence;
	int status;
};

/*
 * Another writer may report in the name of the endpoint. With an incarnation
 * or a sequence that is far too high, its report would make all later ones of
 * the endpoint look old.
 */
TEST_F(LocalGate, ChecksReports)
{
	const ReportCase cases[] = {
		{"valid", "i-1", "a", nullptr, WALL_MS, 1, 0},
		{"clock of the endpoint ahead", "i-1", "a", nullptr,
		 WALL_MS + 3600000, 1, 0},
		{"other service", "i-1", "b", nullptr, WALL_MS, 1, QL_E_DENIED},
		{"other address", "i-1", "a", "127.0.0.1:1", WALL_MS, 1,
		 QL_E_DENIED},
		{"port 0", "i-1", "a", "127.0.0.1:0", WALL_MS, 1, QL_E_DENIED},
		{"port above the range", "i-1", "a", "127.0.0.1:65536", WALL_MS,
		 1, QL_E_DENIED},
		{"port far above the range", "i-1", "a", "127.0.0.1:99999999",
		 WALL_MS, 1, QL_E_DENIED},
		{"negative port", "i-1", "a", "127.0.0.1:-1", WALL_MS, 1,
		 QL_E_DENIED},
		{"address of another family", "i-1", "a", "[::1]:80", WALL_MS,
		 1, QL_E_DENIED},
		{"incarnation in microseconds", "i-1", "a", nullptr,
		 WALL_MS * 1000, 1, QL_E_RANGE},
		{"largest incarnation", "i-1", "a", nullptr, INT64_MAX, 1,
		 QL_E_RANGE},
		{"largest sequence", "i-1", "a", nullptr, WALL_MS, INT64_MAX,
		 QL_E_RANGE},
		{"no instance ID", "", "a", nullptr, WALL_MS, 1, QL_E_INVALID},
		{"line break in the instance ID", "i\r\nX: y", "a", nullptr,
		 WALL_MS, 1, QL_E_INVALID},
	};

	for (const ReportCase &test : cases) {
		SCOPED_TRACE(test.description);
		ql_instance_report_t report =
			make_report(test.instance, test.incarnation,
				    test.sequence);
		GError *error = nullptr;

		strcpy(report.service, test.service);
		if (test.address)
			strcpy(report.address, test.address);
		EXPECT_EQ(test.status,
			  ql_local_gate_check_report(&gate, &report, WALL_MS,
						     &error));
		EXPECT_EQ(test.status != 0, error != nullptr);
		g_clear_error(&error);
	}
}

class LocalGateWithdrawal : public PathFixture
{
      protected:
	void withdraw(const char *instance, uint64_t started_ms = 1,
		      uint64_t sequence = QL_WITHDRAWAL_FINAL)
	{
		ql_withdrawal_t withdrawal;

		ql_withdrawal_init(&withdrawal, instance, started_ms, sequence);
		ql_local_gate_withdraw(&gate, &withdrawal);
	}
};

TEST_F(LocalGateWithdrawal, DeregistersTheReportedInstanceOnly)
{
	register_endpoint();
	withdraw("i-0");
	EXPECT_TRUE(ql_local_gate_is_serving(&gate));
	withdraw("i-1");
	EXPECT_FALSE(ql_local_gate_is_serving(&gate));
}

struct WithdrawalStep {
	const char *description;
	const char *instance;
	uint64_t incarnation;
	uint64_t sequence;
	bool is_serving;
};

/*
 * The node has restarted. Registrars know that the endpoint left, and a report
 * from before that arrives.
 */
TEST_F(LocalGateWithdrawal, IgnoresLateReportsAfterARestart)
{
	const WithdrawalStep steps[] = {
		{"late report", "i-1", 100, 3, false},
		{"late report of an earlier run, same ID", "i-1", 90, 9, false},
		{"next run, same ID", "i-1", 200, 1, true},
		{"late report again", "i-1", 100, 4, true},
		{"next run, other ID", "i-2", 300, 1, true},
	};

	withdraw("i-1", 100);
	for (const WithdrawalStep &step : steps) {
		SCOPED_TRACE(step.description);
		ql_instance_report_t next =
			make_report(step.instance, step.incarnation,
				    step.sequence);

		EXPECT_EQ(0, ql_local_gate_apply_report(&gate, &next));
		EXPECT_EQ(step.is_serving, ql_local_gate_is_serving(&gate));
	}
	EXPECT_EQ(2u, counter_value(QL_COUNT_REPORTS_WITHDRAWN));
}

struct DrainingCase {
	const char *description;
	uint64_t sequence;
	bool draining;
	bool is_serving;
};

/* The endpoint reported that it drains, then the node restarted. */
TEST_F(LocalGateWithdrawal, IgnoresReportsFromBeforeTheDrain)
{
	const DrainingCase cases[] = {
		{"report from before the drain", 4, false, false},
		{"the report that announced it", 5, true, false},
		{"the next report", 6, true, false},
		{"the drain was called off", 7, false, true},
	};

	withdraw("i-1", 100, 5);
	for (const DrainingCase &test : cases) {
		SCOPED_TRACE(test.description);
		ql_instance_report_t next =
			make_report("i-1", 100, test.sequence, test.draining);

		EXPECT_EQ(0, ql_local_gate_apply_report(&gate, &next));
		EXPECT_EQ(test.is_serving, ql_local_gate_is_serving(&gate));
	}
}

/* A late report arrives before the registrars tell of the withdrawal. */
TEST_F(LocalGateWithdrawal, StaysClosedUntilEarlierWithdrawalsAreKnown)
{
	ql_instance_report_t late = make_report("i-1", 100, 3);

	gate.closed = true;
	EXPECT_EQ(0, ql_local_gate_apply_report(&gate, &late));
	EXPECT_FALSE(ql_local_gate_is_serving(&gate));
	withdraw("i-1", 100);
	ql_local_gate_open(&gate);
	EXPECT_FALSE(ql_local_gate_is_serving(&gate));
}

TEST_F(LocalGateWithdrawal, ServesOnceItIsKnownThatThereIsNone)
{
	ql_instance_report_t first = make_report("i-1", 100, 1);

	gate.closed = true;
	EXPECT_EQ(0, ql_local_gate_apply_report(&gate, &first));
	EXPECT_EQ(0, n_state_changes);
	ql_local_gate_open(&gate);
	EXPECT_TRUE(ql_local_gate_is_serving(&gate));
	EXPECT_EQ(1, n_state_changes);
}

/* The caller cancels before the connection to the endpoint is established. */
TEST_F(LocalGate, ReadsTheResponseToACancelledCall)
{
	const ql_call_sink_t sink = {};
	GByteArray *body = g_byte_array_new();
	ql_path_call_t call = {};
	ql_call_handle_t handle;
	ql_headers_t headers;

	register_endpoint();
	ql_headers_init(&headers);
	call.method = "POST";
	call.target = "/order/1";
	call.headers = &headers;
	call.body = body;
	call.id = "x";
	call.service = "a";
	call.class_name = "high";
	call.deadline_us = ql_loop_now_us(&event_loop.loop) + 60000000;
	ql_local_gate_call(&gate, &call, &sink, nullptr, &handle);
	handle.ops->cancel(handle.call);
	EXPECT_EQ(1u, gate.gate.in_progress);
	auto server = accept_connection();
	ASSERT_TRUE(
		event_loop.run_until([&] { return server->has("\r\n\r\n"); }));
	server->send("HTTP/1.1 200 OK\r\nId: x\r\nSeal: s\r\n"
		     "Content-Length: 2\r\n\r\nok");
	EXPECT_TRUE(
		event_loop.run_until([&] { return !gate.gate.in_progress; }));
	ql_headers_finish(&headers);
	g_byte_array_free(body, TRUE);
}

} // namespace
