#include "path/local_gate_internal.h"
#include "quetzalloft/address.h"
#include "quetzalloft/error.h"
#include "quetzalloft/log.h"

#include <string.h>

/* The clocks of the endpoint and of this node may differ by this. */
#define INCARNATION_AHEAD_MAX_MS (24ULL * 3600 * 1000)
/* Largest integer that every JSON implementation represents exactly. */
#define SEQUENCE_MAX ((1ULL << 53) - 1)

/* Orders reports by the start of the endpoint, then by sequence. */
static bool is_newer(const ql_local_gate_t *gate,
		     const ql_instance_report_t *report)
{
	if (!gate->has_report)
		return true;
	if (report->incarnation != gate->report.incarnation)
		return report->incarnation > gate->report.incarnation;
	if (strcmp(report->instance, gate->report.instance) != 0)
		return false;
	return report->sequence > gate->report.sequence;
}

/*
 * A report that drains is applied also when it is the one that announced the
 * withdrawal.
 */
static bool is_withdrawn(const ql_local_gate_t *gate,
			 const ql_instance_report_t *report)
{
	return !report->draining &&
	       ql_withdrawal_covers(&gate->withdrawal, report);
}

static void start_incarnation(ql_local_gate_t *gate)
{
	gate->deregistered = false;
	gate->gate.draining = false;
	gate->incarnation =
		MAX((uint64_t)g_get_real_time(), gate->incarnation + 1);
	ql_upstream_close_idle(gate->upstream);
}

static void store_report(ql_local_gate_t *gate,
			 const ql_instance_report_t *report)
{
	bool is_new_start = !gate->has_report ||
			    report->incarnation != gate->report.incarnation;
	ql_gate_opts_t opts;

	gate->report = *report;
	gate->has_report = true;
	gate->unreachable = false;
	if (is_new_start)
		start_incarnation(gate);
	ql_local_gate__gate_opts(gate, &opts);
	ql_gate_configure(&gate->gate, &opts, ql_loop_now_us(gate->loop));
	/* Queued calls are refused, so that they can run elsewhere. */
	if (report->draining)
		ql_gate_drain(&gate->gate);
}

static bool is_local_endpoint(const ql_local_gate_t *gate,
			      const ql_instance_report_t *report)
{
	const struct sockaddr_in *own = &gate->opts.address;
	struct sockaddr_in address;

	return !strcmp(report->service, gate->opts.service) &&
	       !ql_address_parse(&address, report->address, NULL) &&
	       address.sin_addr.s_addr == own->sin_addr.s_addr &&
	       address.sin_port == own->sin_port;
}

/* The ID is sent in a header of each request to the endpoint. */
static bool is_instance_id(const char *id)
{
	const char *p;

	for (p = id; g_ascii_isgraph(*p); p++)
		;
	return *id && !*p;
}

int ql_local_gate_check_report(const ql_local_gate_t *gate,
			       const ql_instance_report_t *report,
			       uint64_t wall_ms, GError **error)
{
	if (!is_local_endpoint(gate, report))
		return ql_error_set(error, QL_E_DENIED,
				    "%s at %s is not the local endpoint of "
				    "this node",
				    report->service, report->address);
	if (!is_instance_id(report->instance))
		return ql_error_set(error, QL_E_INVALID,
				    "instance ID: allowed printable ASCII "
				    "without spaces");
	if (report->incarnation > wall_ms + INCARNATION_AHEAD_MAX_MS)
		return ql_error_set(error, QL_E_RANGE,
				    "incarnation: found %" G_GUINT64_FORMAT
				    ", allowed a start until now, in ms",
				    report->incarnation);
	if (report->sequence > SEQUENCE_MAX)
		return ql_error_set(error, QL_E_RANGE,
				    "sequence: found %" G_GUINT64_FORMAT
				    ", allowed at most %llu",
				    report->sequence, SEQUENCE_MAX);
	return 0;
}

int ql_local_gate_apply_report(ql_local_gate_t *gate,
			       const ql_instance_report_t *report)
{
	bool was_serving;

	if (!is_local_endpoint(gate, report))
		return QL_E_DENIED;
	if (!is_newer(gate, report))
		return 0;
	if (is_withdrawn(gate, report)) {
		ql_counter_increment(gate->opts.counters,
				     QL_COUNT_REPORTS_WITHDRAWN);
		ql_log(LOG_NOTICE, "report_withdrawn",
		       QL_STR("instance", report->instance),
		       QL_UINT("incarnation", report->incarnation),
		       QL_UINT("sequence", report->sequence));
		return 0;
	}
	was_serving = ql_local_gate_is_serving(gate);
	store_report(gate, report);
	if (was_serving == ql_local_gate_is_serving(gate))
		return 0;
	ql_log(LOG_NOTICE, "endpoint_reported",
	       QL_STR("instance", report->instance),
	       QL_UINT("sequence", report->sequence),
	       QL_UINT("slots", report->slots),
	       QL_INT("draining", report->draining));
	gate->opts.state_changed(gate->opts.data);
	ql_local_gate__apply_decisions(gate);
	return 0;
}

void ql_local_gate_withdraw(ql_local_gate_t *gate,
			    const ql_withdrawal_t *withdrawal)
{
	ql_withdrawal_merge(&gate->withdrawal, withdrawal);
	if (!gate->has_report || gate->deregistered ||
	    !ql_withdrawal_covers(withdrawal, &gate->report))
		return;
	if (withdrawal->sequence == QL_WITHDRAWAL_FINAL)
		gate->deregistered = true;
	else if (!gate->report.draining)
		gate->report.draining = true;
	else
		return;
	ql_gate_drain(&gate->gate);
	ql_local_gate__apply_decisions(gate);
	ql_log(LOG_NOTICE, "endpoint_left",
	       QL_STR("instance", withdrawal->instance),
	       QL_INT("deregistered", gate->deregistered));
	gate->opts.state_changed(gate->opts.data);
}

void ql_local_gate_open(ql_local_gate_t *gate)
{
	if (!gate->closed)
		return;
	gate->closed = false;
	if (gate->has_report)
		gate->opts.state_changed(gate->opts.data);
}
