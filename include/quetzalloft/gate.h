#ifndef QUETZALLOFT_GATE_H
#define QUETZALLOFT_GATE_H

/**
 * DOC: Admission control at the endpoint: a limit on requests in progress, a
 * short queue in front of it, and load shedding by class, lowest class first.
 *
 * The gate has no thread and no clock. The caller offers requests, reports
 * finished ones and takes the decisions on queued ones with
 * ql_gate_next_decision(). Times are in microseconds on a clock of the caller
 * that never goes back.
 */

#include "quetzalloft/gate_queue.h"
#include "quetzalloft/limiter.h"
#include "quetzalloft/service_times.h"
#include "quetzalloft/table.h"

G_BEGIN_DECLS

/**
 * struct ql_gate_opts - Settings of a gate.
 * @limiter: concurrency limit policy; borrowed
 * @slots: requests that the endpoint can run at once
 * @queue_max: most requests that can be queued
 * @max_wait_us: queueing delay after which a request is refused; the mean
 *               service time of its class applies instead if that is longer.
 *               While a lower class is in progress, or queued with a
 *               @lower_class_interval of 0, the request stays queued longer.
 * @queue: queue policy; NULL for &ql_queue_fifo; borrowed
 * @seed: seed of the Retry-After jitter; must differ between gates
 * @lower_class_interval: while several classes are queued, every n-th request
 *                        admitted from the queue is of a class below the
 *                        highest queued one; the lower classes take turns, so
 *                        that none starves. 0 always admits the highest class.
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
 * enum ql_gate_outcome - Outcome of an admitted request.
 * @QL_GATE_SERVED: the endpoint served it
 * @QL_GATE_OVERLOADED: the endpoint shed it, or its deadline passed
 * @QL_GATE_FAILED: it failed otherwise, such as by a refused downstream call;
 *                  its latency is no measure of the load of this endpoint
 */
typedef enum ql_gate_outcome {
	QL_GATE_SERVED,
	QL_GATE_OVERLOADED,
	QL_GATE_FAILED,
} ql_gate_outcome_t;

/**
 * enum ql_gate_verdict - Verdict on an offered request.
 * @QL_GATE_ADMIT: forward it to the endpoint
 * @QL_GATE_QUEUE: keep it until ql_gate_next_decision() returns its decision
 * @QL_GATE_REFUSE: refuse it
 */
typedef enum ql_gate_verdict {
	QL_GATE_ADMIT,
	QL_GATE_QUEUE,
	QL_GATE_REFUSE,
} ql_gate_verdict_t;

/**
 * struct ql_gate_decision - Decision on one request.
 * @verdict: admit, queue or refuse
 * @ticket: handle of the request, valid until it is refused or cancelled or has
 *          finished; QL_HANDLE_NONE if ql_gate_offer() refused it
 * @reason: reason of a refusal
 * @retry_after_ms: time after which the caller may send a refused request again
 */
typedef struct ql_gate_decision {
	ql_gate_verdict_t verdict;
	ql_handle_t ticket;
	ql_reason_t reason;
	uint32_t retry_after_ms;
} ql_gate_decision_t;

/**
 * struct ql_gate - Gate of one endpoint. It must not move in memory, since
 * @queue refers to @tickets.
 * @opts: settings
 * @limiter: limit on @in_progress
 * @tickets: table of &struct ql_gate_ticket: admitted and queued requests
 * @queue: queued requests
 * @decisions: decisions on queued requests, for ql_gate_next_decision()
 * @n_decisions_taken: leading elements of @decisions that were returned already
 * @random: random source of the jitter
 * @in_progress: number of admitted requests
 * @running: number of admitted requests, indexed by shed order, without those
 *           admitted to prevent starvation
 * @n_since_lower_class: requests admitted while a lower class was queued, since
 *                       the last admission to prevent starvation
 * @last_lower_class: shed order of the last admission to prevent starvation
 * @times: service times of the endpoint
 * @draining: no further request is admitted
 * @load_level: one above the highest shed order refused for overload recently
 * @load_level_us: time of the last refusal that set @load_level
 * @usage: counters since the start
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

/**
 * ql_gate_init() - Initialize a gate without requests.
 * @gate: gate; release with ql_gate_finish()
 * @opts: settings; copied. @opts->slots must be at least 1.
 */
void ql_gate_init(ql_gate_t *gate, const ql_gate_opts_t *opts);
/**
 * ql_gate_finish() - Free the memory of a gate.
 * @gate: gate; all its tickets become invalid, and decisions that were not
 *        taken are lost
 */
void ql_gate_finish(ql_gate_t *gate);

/**
 * ql_gate_configure() - Change the settings of a running gate.
 * @gate: gate
 * @opts: new settings; copied. @opts->seed is ignored.
 * @now_us: current time
 *
 * A queue longer than the new @opts->queue_max is cut from its lowest class;
 * ql_gate_next_decision() returns the refusals. All other tickets stay valid.
 * The limiter keeps its state unless the policy changes or the number of slots
 * grows.
 */
void ql_gate_configure(ql_gate_t *gate, const ql_gate_opts_t *opts,
		       uint64_t now_us);

/**
 * ql_gate_offer() - Decide on a new request.
 * @gate: gate
 * @request: request
 * @now_us: current time
 *
 * If the queue is full, a request of a higher rank displaces the lowest queued
 * one. A request that cannot finish before its deadline, by the service time
 * observed for its class, is refused at once. While a class is being refused
 * for overload, lower classes leave a reserve of the limit free and are not
 * queued, except for a few of each class if @lower_class_interval of the
 * settings is not 0.
 *
 * Return: the decision. ql_gate_next_decision() later returns the decision on a
 * queued request.
 */
ql_gate_decision_t ql_gate_offer(ql_gate_t *gate,
				 const ql_gate_request_t *request,
				 uint64_t now_us);

/**
 * ql_gate_finish_request() - Release the slot of an admitted request and record
 * its outcome.
 * @gate: gate
 * @handle: ticket of the request, which must be admitted; invalid afterwards
 * @outcome: outcome
 * @now_us: current time
 *
 * ql_gate_next_decision() must be called afterwards, as the slot may admit a
 * queued request.
 */
void ql_gate_finish_request(ql_gate_t *gate, ql_handle_t handle,
			    ql_gate_outcome_t outcome, uint64_t now_us);

/**
 * ql_gate_cancel() - Remove a queued request.
 * @gate: gate
 * @handle: ticket of the request
 *
 * Return: true if the request was still queued and is removed; false if it is
 * admitted or refused already.
 */
bool ql_gate_cancel(ql_gate_t *gate, ql_handle_t handle);

/**
 * ql_gate_next_decision() - Take the next decision on a queued request.
 * @gate: gate
 * @decision: set to the decision
 * @now_us: current time
 *
 * Return: true if @decision was set, false if no decision is due.
 */
bool ql_gate_next_decision(ql_gate_t *gate, ql_gate_decision_t *decision,
			   uint64_t now_us);

/**
 * ql_gate_next_wakeup_us() - Get the latest time for the next call of
 * ql_gate_next_decision().
 * @gate: gate
 *
 * Return: time of the next wakeup: 0 if a decision is due already, UINT64_MAX
 * if no request is queued.
 */
uint64_t ql_gate_next_wakeup_us(const ql_gate_t *gate);

/**
 * ql_gate_drain() - Refuse all queued requests and all further ones.
 * @gate: gate
 *
 * ql_gate_next_decision() returns the refusals of the queued requests. Admitted
 * requests continue.
 */
void ql_gate_drain(ql_gate_t *gate);

/**
 * ql_gate_read_usage() - Take a snapshot of the usage counters.
 * @gate: gate
 * @usage: set to the counters, with the slot time counted up to @now_us
 * @now_us: current time
 */
void ql_gate_read_usage(ql_gate_t *gate, ql_gate_usage_t *usage,
			uint64_t now_us);

/**
 * ql_gate_load_level() - Get the current load level.
 * @gate: gate
 * @now_us: current time
 *
 * Return: one above the highest shed order that was refused for overload in the
 * last 200 ms; 0 if none was.
 */
uint32_t ql_gate_load_level(const ql_gate_t *gate, uint64_t now_us);

/**
 * ql_gate_occupancy() - Get the part of the limit that is taken.
 * @gate: gate
 *
 * Return: requests in progress and queued, divided by the limit on requests in
 * progress; 0 while the gate is idle, above 1 while requests wait.
 */
double ql_gate_occupancy(const ql_gate_t *gate);

G_END_DECLS

#endif
