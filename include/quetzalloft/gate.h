#ifndef QUETZALLOFT_GATE_H
#define QUETZALLOFT_GATE_H

/**
 * DOC: Admission at the endpoint: a limit on requests in progress, a short
 * queue above it, and load shedding in the order of the classes.
 *
 * The gate has no thread and no clock. The caller offers requests, reports
 * finished ones, and takes decisions about queued ones with
 * ql_gate_next_decision().
 */

#include "quetzalloft/gate_queue.h"
#include "quetzalloft/limiter.h"
#include "quetzalloft/service_times.h"
#include "quetzalloft/table.h"

G_BEGIN_DECLS

/**
 * struct ql_gate_opts - Settings of a gate.
 * @limiter: policy of the limit
 * @slots: requests that the endpoint can run at once
 * @queue_max: requests that may wait
 * @max_wait_us: longest wait while no lower class waits or runs
 * @queue: policy of the queue; NULL is &ql_queue_fifo
 * @seed: of the jitter of Retry-After; different at each gate
 * @lower_class_interval: of so many requests that are admitted from the queue,
 * one is of a lower class than the highest that waits, each of them in turn, so
 * that none starves; 0 goes by class alone
 */
typedef struct ql_gate_opts {
	const ql_limiter_ops_t *limiter;
	uint32_t slots;
	uint32_t queue_max;
	uint64_t max_wait_us;
	const ql_queue_ops_t *queue;
	uint32_t seed;
	uint32_t lower_class_interval;
} ql_gate_opts_t;

/**
 * enum ql_gate_outcome - How an admitted request ended, for the gate.
 * @QL_GATE_SERVED: the endpoint served it
 * @QL_GATE_OVERLOADED: the endpoint shed it, or it ran out of time
 * @QL_GATE_FAILED: it failed in another way, such as a call below that was
 *                  refused; how long that took says nothing of this endpoint
 */
typedef enum ql_gate_outcome {
	QL_GATE_SERVED,
	QL_GATE_OVERLOADED,
	QL_GATE_FAILED,
} ql_gate_outcome_t;

typedef enum ql_gate_verdict {
	QL_GATE_ADMIT,
	QL_GATE_QUEUE,
	QL_GATE_REFUSE,
} ql_gate_verdict_t;

/**
 * struct ql_gate_decision - What happens to one request.
 * @verdict: admitted, queued or refused
 * @ticket: its handle; ended by a refusal or by ql_gate_finish_request()
 * @reason: why it was refused
 * @retry_after_ms: when a refused one may come again
 */
typedef struct ql_gate_decision {
	ql_gate_verdict_t verdict;
	ql_handle_t ticket;
	ql_reason_t reason;
	uint32_t retry_after_ms;
} ql_gate_decision_t;

/**
 * struct ql_gate - The gate of one endpoint. It must not move in memory.
 * @opts: settings
 * @limiter: the limit
 * @tickets: admitted and queued requests
 * @queue: the requests that wait
 * @decisions: decisions about queued requests that wait for
 * ql_gate_next_decision()
 * @n_decisions_taken: decisions at the start of @decisions that were handed out
 * @random: source of jitter
 * @in_progress: admitted requests
 * @running: admitted requests by shed order, but for those in their turn
 * @n_since_lower_class: requests that were admitted since while a lower class
 * waited
 * @last_lower_class: the lower class whose turn it was last
 * @times: of the endpoint
 * @draining: no new request is admitted
 * @load_level: one above the highest shed order refused for overload lately
 * @load_level_us: when that was
 * @usage: what was done so far
 */
typedef struct ql_gate {
	ql_gate_opts_t opts;
	ql_limiter_t limiter;
	ql_table_t tickets;
	ql_gate_queue_t queue;
	GArray *decisions;
	guint n_decisions_taken;
	GRand *random;
	uint32_t in_progress;
	uint32_t running[QL_SHED_ORDERS];
	uint32_t n_since_lower_class;
	uint32_t last_lower_class;
	ql_service_times_t times;
	bool draining;
	uint32_t load_level;
	uint64_t load_level_us;
	ql_gate_usage_t usage;
} ql_gate_t;

void ql_gate_init(ql_gate_t *gate, const ql_gate_opts_t *opts);
void ql_gate_finish(ql_gate_t *gate);

/**
 * ql_gate_configure() - Change the settings of a running gate.
 * @gate: the gate
 * @opts: the new settings; @opts->seed is ignored
 * @now_us: the time
 *
 * Every ticket stays valid. A queue that is longer than allowed now is cut
 * from its lowest class; take the refusals with ql_gate_next_decision(). A
 * limiter that stays the same keeps what it learned.
 */
void ql_gate_configure(ql_gate_t *gate, const ql_gate_opts_t *opts,
		       uint64_t now_us);

/**
 * ql_gate_offer() - Ask for admission.
 * @gate: the gate
 * @request: the request
 * @now_us: the time
 *
 * A request of a higher class takes the place of the lowest queued one when
 * the queue is full. A request that cannot finish in its remaining time, by
 * the service time observed for its class, is refused at once. While a class
 * is refused, lower classes leave a reserve of the limit free and do not wait.
 *
 * Return: the decision. A queued request is decided by ql_gate_next_decision()
 * later.
 */
ql_gate_decision_t ql_gate_offer(ql_gate_t *gate,
				 const ql_gate_request_t *request,
				 uint64_t now_us);

/**
 * ql_gate_finish_request() - Report that an admitted request ended.
 * @gate: the gate
 * @ticket: its handle
 * @end: how
 * @now_us: the time
 */
void ql_gate_finish_request(ql_gate_t *gate, ql_handle_t ticket,
			    ql_gate_outcome_t end, uint64_t now_us);

/**
 * ql_gate_cancel() - Take a queued request back.
 * @gate: the gate
 * @ticket: its handle
 *
 * Return: true when it was still queued; it will not be admitted.
 */
bool ql_gate_cancel(ql_gate_t *gate, ql_handle_t ticket);

/**
 * ql_gate_next_decision() - Take the next decision about a queued request.
 * @gate: the gate
 * @decision: the decision
 * @now_us: the time
 *
 * Return: false when no decision is due.
 */
bool ql_gate_next_decision(ql_gate_t *gate, ql_gate_decision_t *decision,
			   uint64_t now_us);

/**
 * ql_gate_next_wakeup_us() - When ql_gate_next_decision() has to be called at
 * the latest.
 * @gate: the gate
 *
 * Return: a time, or UINT64_MAX when no request waits.
 */
uint64_t ql_gate_next_wakeup_us(const ql_gate_t *gate);

/**
 * ql_gate_drain() - Refuse everything that is not admitted yet.
 * @gate: the gate
 */
void ql_gate_drain(ql_gate_t *gate);

/**
 * ql_gate_read_usage() - Tell what was done with the slots up to now.
 * @gate: the gate
 * @usage: set to the account
 * @now_us: the time
 */
void ql_gate_read_usage(ql_gate_t *gate, ql_gate_usage_t *usage,
			uint64_t now_us);

/**
 * ql_gate_load_level() - The present load level.
 * @gate: the gate
 * @now_us: the time
 *
 * Return: one above the highest shed order that is refused at present; 0 when
 * none is.
 */
uint32_t ql_gate_load_level(const ql_gate_t *gate, uint64_t now_us);

G_END_DECLS

#endif
