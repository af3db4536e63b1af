#ifndef QUETZALLOFT_LIMITER_H
#define QUETZALLOFT_LIMITER_H

/**
 * DOC: Limits on requests in progress at one endpoint.
 */

#include "quetzalloft/types.h"

G_BEGIN_DECLS

/** What ql_limiter_find() knows, for people. */
#define QL_LIMITER_NAMES "fixed, headroom, aimd, gradient or gradient_drift"

/**
 * struct ql_limiter_opts - Bounds of a limit.
 * @initial: limit at the start
 * @min: least limit
 * @max: largest limit: the slots of the endpoint
 */
typedef struct ql_limiter_opts {
	uint32_t initial;
	uint32_t min;
	uint32_t max;
} ql_limiter_opts_t;

/**
 * struct ql_limiter_sample - One finished request.
 * @latency_us: time at the endpoint
 * @in_progress: requests in progress when it was admitted, itself included
 * @overloaded: the endpoint shed it, or it ran out of time
 * @timed_out: it ran out of time, so the latency is cut short
 */
typedef struct ql_limiter_sample {
	uint64_t latency_us;
	uint32_t in_progress;
	bool overloaded;
	bool timed_out;
} ql_limiter_sample_t;

typedef struct ql_limiter ql_limiter_t;

/**
 * struct ql_limiter_ops - A way to adapt the limit.
 * @name: its name in the configuration
 * @init: prepare the state after the bounds were stored
 * @sample: take one finished request into account
 */
typedef struct ql_limiter_ops {
	const char *name;
	void (*init)(ql_limiter_t *limiter);
	void (*sample)(ql_limiter_t *limiter, const ql_limiter_sample_t *sample,
		       uint64_t now_us);
} ql_limiter_ops_t;

/**
 * struct ql_limiter - The limit and the state of its policy.
 * @ops: the policy
 * @opts: the bounds
 * @limit: the limit; its integer part counts
 * @base_latency_us: latency without queueing, as far as known
 * @mean_latency_us: mean latency of the last window, or a moving mean
 * @sum_latency_us: sum over the present window
 * @sum_in_progress: sum over the present window
 * @changed_us: when the limit last fell, or when a probe started or ended
 * @samples: samples in the present window
 * @windows: windows since the last probe
 * @probe_interval_windows: windows before a probe may follow another
 * @verified_concurrency: requests in progress that a probe showed to be really
 * served at a time, or 0
 * @probe_limit: limit of a probe that goes on, or 0
 * @probe_latency_us: mean latency in a probe that is to be judged, or 0
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

/** Always the slots. */
extern const ql_limiter_ops_t ql_limiter_fixed;
/** The slots but one in sixteen, which keeps an endpoint at full speed. */
extern const ql_limiter_ops_t ql_limiter_headroom;
/** Adds slowly, falls by a fifth when requests run out of time. */
extern const ql_limiter_ops_t ql_limiter_aimd;
/**
 * Falls when a probe at half the requests in progress shows that fewer of them
 * are served faster, and grows while the latency is near its base. So it is
 * misled neither by a constant overload nor by a service, here or further
 * down, that is slow by itself.
 */
extern const ql_limiter_ops_t ql_limiter_gradient;
/** The same without probes: the base is the least latency, drifting up. */
extern const ql_limiter_ops_t ql_limiter_gradient_drift;

/**
 * ql_limiter_find() - Find a policy by name.
 * @name: "fixed", "headroom", "aimd", "gradient" or "gradient_drift"
 *
 * Return: the policy, or NULL.
 */
const ql_limiter_ops_t *ql_limiter_find(const char *name);

void ql_limiter_init(ql_limiter_t *limiter, const ql_limiter_ops_t *ops,
		     const ql_limiter_opts_t *opts);

/**
 * ql_limiter_configure() - Change the policy or the bounds.
 * @limiter: the limit
 * @ops: the policy; the same one keeps what it learned
 * @opts: the bounds; a new policy starts at the present limit
 */
void ql_limiter_configure(ql_limiter_t *limiter, const ql_limiter_ops_t *ops,
			  const ql_limiter_opts_t *opts);

void ql_limiter_observe(ql_limiter_t *limiter,
			const ql_limiter_sample_t *sample, uint64_t now_us);

/**
 * ql_limiter_get() - The present limit.
 * @limiter: the limit
 *
 * Return: requests that may be in progress, at least 1.
 */
uint32_t ql_limiter_get(const ql_limiter_t *limiter);

G_END_DECLS

#endif
