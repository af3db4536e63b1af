#include "path/front_internal.h"
#include "quetzalloft/clock.h"

/* A request waits for a token for its target, or its time left, over this. */
#define WAIT_DIVISOR 8u
/* Short, as the leader is usually back soon. */
#define UNKNOWN_RETRY_AFTER_MS 200.0
/* Least spread of the times at which refused clients return. */
#define SPREAD_MIN_MS 100u

static void ask_if_due(ql_front_t *front);

static void on_quota_timer(void *data)
{
	ask_if_due(data);
}

void ql_front__init_quota(ql_front_t *front)
{
	ql_quota_wallet_init(&front->quota);
	front->quota_timer.expired = on_quota_timer;
	front->quota_timer.data = front;
}

/* Asks the leader for tokens, now or when that is due. */
static void ask_if_due(ql_front_t *front)
{
	uint64_t now_us = ql_clock_boot_us();
	uint64_t due_us = ql_quota_wallet_next_ask_us(&front->quota);

	ql_loop_stop_timer(front->loop, &front->quota_timer);
	if (due_us == UINT64_MAX)
		return;
	if (due_us > now_us)
		ql_loop_start_timer(front->loop, &front->quota_timer,
				    (due_us - now_us) / QL_US_PER_MS + 1);
	else if (ql_quota_wallet_begin_ask(&front->quota, now_us))
		front->opts.ask_quota(front->opts.data, &front->quota);
}

/* The time until a token is there, and a spread, so that not all return then.
 */
static uint32_t spread_ms(ql_front_t *front, uint64_t retry_us)
{
	uint64_t ms = MIN(retry_us / QL_US_PER_MS + 1, G_MAXINT32 / 2);
	uint64_t spread = MAX(ms, SPREAD_MIN_MS);

	return (uint32_t)(ms + (uint64_t)g_rand_int_range(front->random, 0,
							  (gint32)spread));
}

static void refuse(ql_front_call_t *call, const ql_quota_result_t *result)
{
	ql_front__count(call, QL_COUNT_QUOTA_REFUSED);
	call->retry_after_ms = spread_ms(call->front, result->retry_us);
	ql_front__fail(call, QL_REASON_QUOTA);
}

/*
 * The key may have been withdrawn while the request waited, or the proof that
 * it is current may be too old by now.
 */
static ql_reason_t check_caller_again(const ql_front_call_t *call)
{
	const ql_team_t *team;

	return ql_front__identify_caller(call->front, call->exchange,
					 call->route, &team);
}

static void keep_token(ql_front_call_t *call, uint64_t end_us)
{
	call->has_token = true;
	call->token_end_us = end_us;
}

static void on_decided(void *data, const ql_quota_result_t *result)
{
	ql_front_call_t *call = data;
	ql_reason_t reason;

	ql_loop_stop_timer(call->front->loop, &call->quota_timer);
	if (result->verdict != QL_QUOTA_TAKEN) {
		refuse(call, result);
		return;
	}
	keep_token(call, result->end_us);
	reason = check_caller_again(call);
	if (reason == QL_REASON_NONE) {
		ql_front__start_call(call);
		return;
	}
	call->retry_after_ms =
		ql_front__count_caller_refusal(call->front, reason);
	ql_front__fail(call, reason);
}

static void on_wait_expired(void *data)
{
	ql_front_call_t *call = data;

	ql_quota_wallet_leave(&call->quota_waiter);
	ql_front__count(call, QL_COUNT_QUOTA_UNKNOWN);
	call->retry_after_ms =
		ql_retry_after_ms(UNKNOWN_RETRY_AFTER_MS, call->front->random);
	ql_front__fail(call, QL_REASON_QUOTA_UNKNOWN);
}

static uint64_t longest_wait_ms(const ql_front_call_t *call)
{
	uint64_t now_us = ql_front__now_us(call);
	uint64_t deadline_us = call->downstream.deadline_us;
	uint64_t limit_ms = deadline_us > now_us
				    ? (deadline_us - now_us) / QL_US_PER_MS
				    : 0;

	if (call->route->target_ms)
		limit_ms = MIN(limit_ms, call->route->target_ms);
	return MAX(limit_ms / WAIT_DIVISOR, 1);
}

bool ql_front__has_quota(const ql_front_t *front, const ql_team_t *team)
{
	return team && team->rate_per_s > 0 && front->opts.ask_quota;
}

void ql_front__take_quota(ql_front_call_t *call)
{
	ql_front_t *front = call->front;
	ql_quota_result_t result;

	call->quota_waiter.decided = on_decided;
	call->quota_waiter.data = call;
	call->quota_timer.expired = on_wait_expired;
	call->quota_timer.data = call;
	result = ql_quota_wallet_take(&front->quota, call->team->name,
				      &call->quota_waiter, ql_clock_boot_us());
	if (result.verdict == QL_QUOTA_WAIT) {
		ql_loop_start_timer(front->loop, &call->quota_timer,
				    longest_wait_ms(call));
	} else if (result.verdict == QL_QUOTA_TAKEN) {
		keep_token(call, result.end_us);
		ql_front__start_call(call);
	} else {
		refuse(call, &result);
	}
	ask_if_due(front);
}

void ql_front__return_quota(ql_front_call_t *call)
{
	if (!call->has_token)
		return;
	call->has_token = false;
	ql_quota_wallet_put_back(&call->front->quota, call->team->name,
				 call->token_end_us);
}

void ql_front_quota_answered(ql_front_t *front, const ql_quota_grant_t *grants,
			     size_t n_grants, uint64_t validity_us)
{
	ql_quota_wallet_handle_reply(&front->quota, grants, n_grants,
				     validity_us, ql_clock_boot_us());
	ask_if_due(front);
}

void ql_front_quota_failed(ql_front_t *front, uint64_t retry_us)
{
	ql_quota_wallet_handle_failure(&front->quota, retry_us,
				       ql_clock_boot_us());
	ask_if_due(front);
}
