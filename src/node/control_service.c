#include "node/control_service.h"
#include "control/greeting.h"
#include "control/rpc_client.h"
#include "node/operator_service.h"
#include "quetzalloft/error.h"
#include "quetzalloft/json.h"
#include "quetzalloft/log.h"

#include <stdlib.h>
#include <string.h>

#define CALL_TIMEOUT_MS 1000u
#define WAKE_RING_ENTRIES 16u

static uint64_t now_ms(void)
{
	return ql_clock_now_us() / QL_US_PER_MS;
}

static uint64_t take_clock(ql_control_service_t *control, uint64_t remote)
{
	uint64_t wall_ms = ql_clock_wall_ms();

	ql_hlc_observe(control->hlc, remote, wall_ms);
	return ql_hlc_tick(control->hlc, wall_ms);
}

static char *copy_text(const char *text)
{
	return strdup(text ? text : "");
}

static void handle_lease(void *data, const void *in, void *out)
{
	ql_control_service_t *control = data;
	const ql_rpc_lease_args *args = in;
	ql_rpc_lease_res *res = out;

	res->clock = take_clock(control, args->greeting.clock);
	if (!control->settings->registrar) {
		res->status = QL_E_UNAVAILABLE;
		res->detail = copy_text("this process is no registrar");
		return;
	}
	pthread_mutex_lock(&control->lock);
	ql_registrar_lease(&control->registrar, args, res, now_ms());
	pthread_mutex_unlock(&control->lock);
}

static bool refuse_sender(const ql_control_service_t *control,
			  const ql_rpc_greeting *greeting, int *status,
			  char **detail)
{
	*status =
		ql_greeting_check(greeting, control->settings->cluster, detail);
	if (!*status)
		return false;
	ql_log(LOG_WARNING, "rpc_refused", QL_STR("node", greeting->node),
	       QL_STR("cluster", greeting->cluster),
	       QL_STR("error", ql_error_name(*status)));
	return true;
}

static void submit_patch(ql_control_service_t *control,
			 const ql_rpc_patch_args *args, ql_rpc_patch_res *res)
{
	ql_patch_t patch = {
		.base_version = args->base_version,
		.text = args->patch.patch_val,
		.length = args->patch.patch_len,
	};
	ql_patch_answer_t answer;

	g_strlcpy(patch.id, args->id, sizeof(patch.id));
	pthread_mutex_lock(&control->lock);
	ql_config_store_submit(&control->store, &patch, &answer);
	pthread_mutex_unlock(&control->lock);
	res->status = answer.status;
	res->config_version = answer.version;
	res->detail = copy_text(answer.detail);
	ql_log(LOG_NOTICE, answer.status ? "patch_refused" : "patch_accepted",
	       QL_STR("id", patch.id), QL_UINT("base", patch.base_version),
	       QL_UINT("version", answer.version),
	       QL_STR("error", ql_error_name(answer.status)));
}

static void handle_patch(void *data, const void *in, void *out)
{
	ql_control_service_t *control = data;
	const ql_rpc_patch_args *args = in;
	ql_rpc_patch_res *res = out;

	res->clock = take_clock(control, args->greeting.clock);
	res->leader = copy_text("");
	if (refuse_sender(control, &args->greeting, &res->status, &res->detail))
		return;
	if (!control->settings->replica) {
		res->status = QL_E_UNAVAILABLE;
		res->detail = copy_text("this process is no replica");
		return;
	}
	submit_patch(control, args, res);
}

static void handle_document(void *data, const void *in, void *out)
{
	ql_control_service_t *control = data;
	const ql_rpc_document_args *args = in;
	ql_rpc_document_res *res = out;
	ql_config_reply_t reply = {
		.whole_document = &res->whole_document,
		.document_len = &res->document.document_len,
		.document_val = &res->document.document_val,
		.changes_len = &res->changes.changes_len,
		.changes_val = &res->changes.changes_val,
	};

	res->clock = take_clock(control, args->greeting.clock);
	if (refuse_sender(control, &args->greeting, &res->status, &res->detail))
		return;
	res->detail = copy_text("");
	pthread_mutex_lock(&control->lock);
	res->config_version = control->store.state.doc->version;
	ql_config_reply_fill(&reply, &control->store.state,
			     args->known_version);
	pthread_mutex_unlock(&control->lock);
}

static void handle_report(void *data, const void *in, void *out)
{
	ql_control_service_t *control = data;
	const ql_rpc_report_args *args = in;
	ql_rpc_report_res *res = out;
	json_t *json;

	res->clock = take_clock(control, args->greeting.clock);
	if (refuse_sender(control, &args->greeting, &res->status, &res->detail))
		return;
	json = control->report(control->data, args->topic, args->filter);
	if (!json) {
		res->status = QL_E_NOT_FOUND;
		res->detail = copy_text("no such report");
		return;
	}
	res->detail = copy_text("");
	res->report.report_val = ql_json_text(json);
	res->report.report_len = (u_int)strlen(res->report.report_val);
	json_decref(json);
}

#define PROCEDURE(number, name, handler)                     \
	{                                                    \
		number, (xdrproc_t)xdr_ql_rpc_##name##_args, \
			(xdrproc_t)xdr_ql_rpc_##name##_res,  \
			sizeof(ql_rpc_##name##_args),        \
			sizeof(ql_rpc_##name##_res), handler \
	}

static const ql_rpc_procedure_t procedures[] = {
	PROCEDURE(QL_LEASE, lease, handle_lease),
	PROCEDURE(QL_PATCH, patch, handle_patch),
	PROCEDURE(QL_DOCUMENT, document, handle_document),
	PROCEDURE(QL_REPORT, report, handle_report),
};

static void describe_node(ql_control_service_t *control,
			  ql_rpc_lease_args *args)
{
	const ql_settings_t *settings = control->settings;
	char gate[QL_ADDRESS_MAX * 2];
	u_int i;

	g_snprintf(gate, sizeof(gate), "%s:%u", settings->address,
		   (unsigned int)settings->gate_port);
	args->endpoints.endpoints_val =
		calloc(QL_LOCAL_ENDPOINTS_MAX, sizeof(ql_rpc_endpoint));
	g_assert(args->endpoints.endpoints_val);
	args->endpoints.endpoints_len =
		ql_gate_service_describe(control->gates, settings->node,
					 settings->failure_domain, gate,
					 args->endpoints.endpoints_val);
	args->leaving = __atomic_load_n(&control->leaving, __ATOMIC_ACQUIRE);
	if (args->leaving)
		for (i = 0; i < args->endpoints.endpoints_len; i++)
			args->endpoints.endpoints_val[i].state =
				QL_RPC_ENDPOINT_LEAVING;
}

static int exchange_lease(ql_control_service_t *control,
			  ql_rpc_client_t *client, GError **error)
{
	ql_rpc_lease_args args = {0};
	ql_rpc_lease_res res = {0};
	ql_rpc_call_t call = {
		.procedure = QL_LEASE,
		.encode = (xdrproc_t)xdr_ql_rpc_lease_args,
		.args = &args,
		.decode = (xdrproc_t)xdr_ql_rpc_lease_res,
		.result = &res,
	};
	int ret;

	pthread_mutex_lock(&control->member_lock);
	ql_member_fill_lease(&control->member, &args);
	pthread_mutex_unlock(&control->member_lock);
	args.greeting.clock = ql_hlc_tick(control->hlc, ql_clock_wall_ms());
	describe_node(control, &args);
	ret = ql_rpc_client_call(client, &call, error);
	if (!ret) {
		take_clock(control, res.clock);
		pthread_mutex_lock(&control->member_lock);
		ret = ql_member_take_lease(&control->member, &res, now_ms(),
					   error);
		pthread_mutex_unlock(&control->member_lock);
	}
	xdr_free((xdrproc_t)xdr_ql_rpc_lease_res, &res);
	xdr_free((xdrproc_t)xdr_ql_rpc_lease_args, &args);
	return ret;
}

static void renew_lease(ql_control_service_t *control, ql_rpc_client_t *clients)
{
	GError *error = NULL;
	size_t index = control->member.registrar;

	ql_count(control->counters, QL_COUNT_LEASES_SENT);
	if (!exchange_lease(control, &clients[index], &error))
		return;
	ql_count(control->counters, QL_COUNT_LEASES_FAILED);
	ql_log(LOG_WARNING, "lease_failed",
	       QL_STR("registrar", clients[index].address),
	       QL_STR("error", ql_error_name(error->code)),
	       QL_STR("detail", error->message));
	g_error_free(error);
	ql_member_lease_failed(&control->member);
}

static void *renew_leases(void *data)
{
	ql_control_service_t *control = data;
	ql_rpc_client_t clients[QL_REGISTRARS_MAX];
	size_t n = control->settings->n_registrars;
	size_t i;

	for (i = 0; i < n; i++)
		ql_rpc_client_init(&clients[i],
				   control->settings->registrars[i],
				   QL_CONTROL_PROGRAM, QL_CONTROL_V1,
				   CALL_TIMEOUT_MS);
	while (!__atomic_load_n(&control->stopping, __ATOMIC_ACQUIRE)) {
		renew_lease(control, clients);
		ql_ring_wait(&control->wake,
			     (int)ql_member_delay_ms(&control->member));
		while (ql_ring_pop(&control->wake))
			;
	}
	for (i = 0; i < n; i++)
		ql_rpc_client_finish(&clients[i]);
	return NULL;
}

static void init_member(ql_control_service_t *control,
			const ql_member_ops_t *ops, void *ops_data)
{
	const ql_settings_t *settings = control->settings;
	ql_member_opts_t opts = {
		.incarnation = control->incarnation,
		.n_registrars = settings->n_registrars,
		.renew_ms = (uint32_t)settings->renew_ms,
	};

	memcpy(opts.cluster, settings->cluster, sizeof(opts.cluster));
	memcpy(opts.node, settings->node, sizeof(opts.node));
	memcpy(opts.failure_domain, settings->failure_domain,
	       sizeof(opts.failure_domain));
	memcpy(opts.registrars, settings->registrars, sizeof(opts.registrars));
	control->random = g_rand_new();
	pthread_mutex_init(&control->member_lock, NULL);
	ql_member_init(&control->member, &opts, ops, ops_data, control->random);
}

static int init_state(ql_control_service_t *control, GError **error)
{
	const ql_settings_t *settings = control->settings;
	ql_registrar_opts_t opts = {
		.incarnation = control->incarnation,
		.lease_ms = (uint32_t)settings->lease_ms,
	};

	if (!settings->replica)
		ql_config_state_init(&control->store.state);
	else if (ql_config_store_init(&control->store, settings->data_folder,
				      error))
		return QL_E_IO;
	memcpy(opts.cluster, settings->cluster, sizeof(opts.cluster));
	memcpy(opts.failure_domain, settings->failure_domain,
	       sizeof(opts.failure_domain));
	ql_registrar_init(&control->registrar, &opts, &control->store.state);
	return 0;
}

static int start_rpc(ql_control_service_t *control, GError **error)
{
	ql_rpc_program_t program = {
		.number = QL_CONTROL_PROGRAM,
		.version = QL_CONTROL_V1,
		.procedures = procedures,
		.n_procedures = G_N_ELEMENTS(procedures),
		.data = control,
	};
	char address[QL_ADDRESS_MAX * 2];

	g_snprintf(address, sizeof(address), "%s:%u",
		   control->settings->address,
		   (unsigned int)control->settings->control_port);
	control->rpc.programs[0] = program;
	control->rpc.programs[1] = ql_operator_program(control->settings);
	control->rpc.n_programs = 2;
	return ql_rpc_server_start(&control->rpc, address, error);
}

int ql_control_service_start(ql_control_service_t *control,
			     const ql_member_ops_t *ops, void *ops_data,
			     GError **error)
{
	int ret;

	control->incarnation = (uint64_t)g_get_real_time();
	pthread_mutex_init(&control->lock, NULL);
	ret = init_state(control, error);
	if (!ret)
		ret = ql_ring_init(&control->wake, WAKE_RING_ENTRIES, error);
	if (!ret)
		ret = start_rpc(control, error);
	if (ret)
		return ret;
	init_member(control, ops, ops_data);
	control->thread = g_thread_new("lease", renew_leases, control);
	return 0;
}

void ql_control_service_wake(ql_control_service_t *control)
{
	/* A full ring means that a wake-up is due already. */
	ql_ring_push(&control->wake, control);
}

void ql_control_service_leave(ql_control_service_t *control)
{
	__atomic_store_n(&control->leaving, 1, __ATOMIC_RELEASE);
	ql_control_service_wake(control);
}

void ql_control_service_stop(ql_control_service_t *control)
{
	__atomic_store_n(&control->stopping, 1, __ATOMIC_RELEASE);
	ql_control_service_wake(control);
	g_thread_join(control->thread);
	ql_rpc_server_stop(&control->rpc);
	ql_member_finish(&control->member);
	ql_registrar_finish(&control->registrar);
	ql_config_state_finish(&control->store.state);
	ql_ring_finish(&control->wake);
	g_rand_free(control->random);
	pthread_mutex_destroy(&control->member_lock);
	pthread_mutex_destroy(&control->lock);
}
