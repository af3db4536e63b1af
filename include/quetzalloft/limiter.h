#ifndef QUETZALLOFT_LIMITER_H
#define QUETZALLOFT_LIMITER_H

/**
 * DOC: Concurrency limits: limits on the requests in progress at one endpoint.
 */

#include "quetzalloft/types.h"

G_BEGIN_DECLS

/** Names that ql_limiter_find() accepts, for messages to users. */
#define QL_LIMITER_NAMES "fixed, headroom, aimd, gradient or gradient_drift"

/**
 * struct ql_limiter_opts - Bounds of a limit.
 * @initial: initial limit; clamped to @min and @max
 * @min: lowest limit; at least 1
 * @max: highest limit, at least @min: the slots of the endpoint
 */
typedef struct ql_limiter_opts {
	uint32_t initial;
	uint32_t min;
	uint32_t max;
} ql_limiter_opts_t;

/**
 * struct ql_limiter_sample - Measurements of one finished request.
 * @latency_us: time from its admission to its end
 * @in_progress: requests in progress at its admission, itself included
 * @overloaded: the endpoint shed it, or its deadline passed
 * @timed_out: its deadline passed, so that @latency_us is shorter than the
 *             complete request would have taken
 */
typedef struct ql_limiter_sample {
	uint64_t latency_us;
	uint32_t in_progress;
	bool overloaded;
	bool timed_out;
} ql_limiter_sample_t;

typedef struct ql_limiter ql_limiter_t;

/**
 * struct ql_limiter_ops - A limit policy.
 * @name: name in the configuration
 * @init: set the initial limit and state; the limiter is zeroed except for @ops
 *        and @opts
 * @sample: adapt the limit to one finished request
 */
typedef struct ql_limiter_ops {
	const char *name;
	void (*init)(ql_limiter_t *limiter);
	void (*sample)(ql_limiter_t *limiter, const ql_limiter_sample_t *sample,
		       uint64_t now_us);
} ql_limiter_ops_t;

/**
 * struct ql_limiter - The limit and the state of its policy.
 * @ops: policy; borrowed
 * @opts: bounds
 * @limit: the limit; its integer part applies
 * @base_latency_us: estimated latency without queueing; 0 if unknown
 * @mean_latency_us: mean latency of the last window (gradient) or moving mean
 *                   of all latencies (gradient_drift)
 * @sum_latency_us: sum of the latencies in the current window of samples
 * @sum_in_progress: sum of the requests in progress in the current window
 * @changed_us: time at which the limit last backed off, or a probe started or
 *              ended
 * @samples: number of samples in the current window
 * @windows: number of windows since the last probe
 * @probe_interval_windows: windows between two probes
 * @verified_concurrency: requests in progress that the last probe showed to be
 *                        served concurrently, without queueing; 0 if none
 * @probe_limit: limit during a probe; 0 while none is running
 * @probe_latency_us: mean latency of a finished probe that is not evaluated
 *                    yet; 0 if there is none
 */
struct ql_limiter {
	const ql_limiter_ops_t *ops;
	ql_limiter_opts_t opts;
	double limit;
	double base_latency_us;
	double mean_latency_us;
	double sum_latency_us;
	double sum_in_progress;
	uint64_t changed_us;
	uint32_t samples;
	uint32_t windows;
	uint32_t probe_interval_windows;
	double verified_concurrency;
	uint32_t probe_limit;
	double probe_latency_us;
};

/** The limit is the number of slots. */
extern const ql_limiter_ops_t ql_limiter_fixed;
/**
 * The limit is the number of slots less a sixteenth, rounded to an integer,
 * as an endpoint with all slots in use serves every request more slowly.
 */
extern const ql_limiter_ops_t ql_limiter_headroom;
/**
 * Additive increase, multiplicative decrease: the limit falls by a fifth when a
 * request is shed by the endpoint or misses its deadline.
 */
extern const ql_limiter_ops_t ql_limiter_aimd;
/**
 * Probes at half the requests in progress. The limit falls if the latency is
 * lower in the probe, and grows while the latency is near the base latency.
 * Neither a constant overload nor an inherently slow service, here or
 * downstream, leads to a wrong limit.
 */
extern const ql_limiter_ops_t ql_limiter_gradient;
/**
 * Gradient without probes: the base latency is the lowest mean latency observed
 * and drifts upward by 1% with each window of 20 samples.
 */
extern const ql_limiter_ops_t ql_limiter_gradient_drift;

/**
 * ql_limiter_find() - Find a limit policy by name.
 * @name: "fixed", "headroom", "aimd", "gradient" or "gradient_drift"
 *
 * Return: the policy, or NULL if there is none of that name.
 */
const ql_limiter_ops_t *ql_limiter_find(const char *name);

/**
 * ql_limiter_init() - Start a policy at its initial limit.
 * @limiter: limiter; it allocates nothing and needs no release
 * @ops: policy; borrowed
 * @opts: bounds; copied
 */
void ql_limiter_init(ql_limiter_t *limiter, const ql_limiter_ops_t *ops,
		     const ql_limiter_opts_t *opts);

/**
 * ql_limiter_configure() - Change the policy or the bounds.
 * @limiter: limiter
 * @ops: policy; borrowed
 * @opts: bounds; copied. @opts->initial is ignored.
 *
 * The state is kept if the policy is the same and @opts->max does not grow.
 * Otherwise the policy is initialized again, with the current limit as its
 * initial one.
 */
void ql_limiter_configure(ql_limiter_t *limiter, const ql_limiter_ops_t *ops,
			  const ql_limiter_opts_t *opts);

/**
 * ql_limiter_observe() - Adapt the limit to a finished request.
 * @limiter: limiter
 * @sample: measurements of the request
 * @now_us: current time
 */
void ql_limiter_observe(ql_limiter_t *limiter,
			const ql_limiter_sample_t *sample, uint64_t now_us);

/**
 * ql_limiter_get() - Get the current limit.
 * @limiter: limiter
 *
 * Return: number of requests that may be in progress; at least 1.
 */
uint32_t ql_limiter_get(const ql_limiter_t *limiter);

G_END_DECLS

#endif
