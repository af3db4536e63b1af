#include "path/local_gate_internal.h"
#include "quetzalloft/address.h"
#include "quetzalloft/error.h"
#include "quetzalloft/log.h"

#include <string.h>

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

int ql_local_gate_apply_report(ql_local_gate_t *gate,
			       const ql_instance_report_t *report)
{
	struct sockaddr_in address;
	bool was_serving;

	if (strcmp(report->service, gate->opts.service) != 0 ||
	    ql_address_parse(&address, report->address, NULL) ||
	    address.sin_addr.s_addr != gate->opts.address.sin_addr.s_addr ||
	    address.sin_port != gate->opts.address.sin_port)
		return QL_E_DENIED;
	if (!is_newer(gate, report))
		return 0;
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

void ql_local_gate_deregister(ql_local_gate_t *gate, const char *instance)
{
	if (!gate->has_report || strcmp(gate->report.instance, instance) != 0 ||
	    gate->deregistered)
		return;
	gate->deregistered = true;
	ql_gate_drain(&gate->gate);
	ql_local_gate__apply_decisions(gate);
	ql_log(LOG_NOTICE, "endpoint_left", QL_STR("instance", instance));
	gate->opts.state_changed(gate->opts.data);
}
