#include "node/local_endpoint.h"
#include "quetzalloft/clock.h"

#include <gtest/gtest.h>

#include <cstring>

namespace
{

bool never_cancelled(void *)
{
	return false;
}

/*
 * The gate may decide on a request within the call that queues it. The node
 * aborted then, since no thread was registered as waiting for the decision.
 */
TEST(LocalEndpoint, DecidesDuringAdmission)
{
	ql_announcement_t announcement = {};
	ql_gate_opts_t opts = {};
	ql_local_endpoint_t endpoint;
	ql_admission_request_t admission = {};
	ql_gate_decision_t first, next;
	uint32_t level;

	strcpy(announcement.service, "a");
	announcement.slots = 1;
	announcement.connections = 1;
	announcement.lease_ms = 60000;
	opts.limiter = &ql_limiter_fixed;
	opts.slots = 1;
	opts.queue_max = 10;
	opts.max_wait_us = 1000;
	ql_local_endpoint_init(&endpoint, &announcement, &opts);
	ql_local_endpoint_apply_announcement(&endpoint, &announcement);
	admission.is_cancelled = never_cancelled;
	admission.request.deadline_us = ql_clock_now_us() + 60 * QL_US_PER_S;
	first = ql_local_endpoint_admit(&endpoint, &admission, &level);
	ASSERT_EQ(QL_GATE_ADMIT, first.verdict);
	for (uint64_t remaining_us = 0; remaining_us < 2000; remaining_us++) {
		admission.request.deadline_us =
			ql_clock_now_us() + remaining_us % 8;
		next = ql_local_endpoint_admit(&endpoint, &admission, &level);
		EXPECT_EQ(QL_GATE_REFUSE, next.verdict);
	}
	ql_local_endpoint_finish_request(&endpoint, first.ticket,
					 QL_GATE_SERVED, &level);
	ql_local_endpoint_finish(&endpoint);
}

} // namespace
