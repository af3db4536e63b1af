#include "node/control_service.h"
#include "control/greeting.h"
#include "node/operator_service.h"
#include "quetzalloft/error.h"
#include "quetzalloft/json.h"
#include "quetzalloft/log.h"

#include <stdlib.h>
#include <string.h>

#define TOPIC_EXPLAIN "explain"

static char *copy_text(const char *text)
{
	return strdup(text ? text : "");
}

static void handle_lease(void *data, const void *in, void *out)
{
	ql_control_service_t *control = data;
	const ql_rpc_lease_args *args = in;
	ql_rpc_lease_res *res = out;
	uint64_t proven_ms = 0;

	res->clock =
		ql_greeting_observe_clock(control->hlc, args->greeting.clock);
	/* The reply has the configuration of this time or a later one. */
	if (control->settings->replica)
		proven_ms = ql_replica_service_proven_ms(&control->replica);
	ql_registrar_service_handle_lease(&control->registrar, args, res,
					  proven_ms);
}

static void handle_offer(void *data, const void *in, void *out)
{
	ql_control_service_t *control = data;
	const ql_rpc_offer_args *args = in;
	ql_rpc_offer_res *res = out;

	res->clock =
		ql_greeting_observe_clock(control->hlc, args->greeting.clock);
	ql_registrar_service_handle_offer(&control->registrar, args, res);
}

static void handle_exchange(void *data, const void *in, void *out)
{
	ql_control_service_t *control = data;
	const ql_rpc_exchange_args *args = in;
	ql_rpc_exchange_res *res = out;

	res->clock =
		ql_greeting_observe_clock(control->hlc, args->greeting.clock);
	ql_registrar_service_handle_exchange(&control->registrar, args, res);
}

static void submit_patch(ql_control_service_t *control,
			 const ql_rpc_patch_args *args, ql_rpc_patch_res *res)
{
	ql_patch_t patch = {
		.base_version = args->base_version,
		.version = args->new_version,
		.whole = args->whole,
		.text = args->patch.patch_val,
		.length = args->patch.patch_len,
	};
	ql_patch_answer_t answer;
	char leader[QL_ADDRESS_MAX];

	g_strlcpy(patch.id, args->id, sizeof(patch.id));
	ql_replica_service_submit(&control->replica, &patch, &answer, leader);
	res->status = answer.status;
	res->config_version = answer.version;
	res->detail = copy_text(answer.detail);
	res->leader = copy_text(leader);
}

static void handle_patch(void *data, const void *in, void *out)
{
	ql_control_service_t *control = data;
	const ql_rpc_patch_args *args = in;
	ql_rpc_patch_res *res = out;

	res->clock =
		ql_greeting_observe_clock(control->hlc, args->greeting.clock);
	if (ql_greeting_is_refused(&args->greeting, control->settings->cluster,
				   &res->status, &res->detail)) {
		res->leader = copy_text("");
	} else if (!control->settings->replica) {
		res->status = QL_E_UNAVAILABLE;
		res->detail = copy_text("this process is not a replica");
		res->leader = copy_text("");
	} else {
		submit_patch(control, args, res);
	}
}

static void fill_document(ql_config_state_t *config, uint64_t known_version,
			  ql_rpc_document_res *res)
{
	ql_config_reply_t reply = {
		.whole_document = &res->whole_document,
		.document_len = &res->document.document_len,
		.document_val = &res->document.document_val,
		.changes_len = &res->changes.changes_len,
		.changes_val = &res->changes.changes_val,
	};

	res->config_version = config->doc->version;
	ql_config_reply_fill(&reply, config, known_version);
}

/*
 * Returns 0 when the answer may be sent: the caller does not require the
 * current state, or a quorum has confirmed it.
 */
static int confirm_current(ql_control_service_t *control,
			   const ql_rpc_document_args *args,
			   ql_rpc_document_res *res)
{
	if (!args->must_be_current)
		return 0;
	if (!control->settings->replica)
		return QL_E_UNAVAILABLE;
	res->read_token = args->read_token;
	return ql_replica_service_read(&control->replica, &res->read_token);
}

static void handle_document(void *data, const void *in, void *out)
{
	ql_control_service_t *control = data;
	const ql_rpc_document_args *args = in;
	ql_rpc_document_res *res = out;

	res->clock =
		ql_greeting_observe_clock(control->hlc, args->greeting.clock);
	if (ql_greeting_is_refused(&args->greeting, control->settings->cluster,
				   &res->status, &res->detail))
		return;
	res->status = confirm_current(control, args, res);
	if (res->status) {
		res->detail = copy_text("no quorum of replicas has confirmed "
					"that the document is current");
		return;
	}
	res->detail = copy_text("");
	if (control->settings->replica || control->settings->registrar) {
		pthread_mutex_lock(&control->lock);
		fill_document(&control->state, args->known_version, res);
		pthread_mutex_unlock(&control->lock);
	} else {
		pthread_mutex_lock(&control->lease.lock);
		fill_document(&control->lease.member.config,
			      args->known_version, res);
		pthread_mutex_unlock(&control->lease.lock);
	}
}

/* Sets *json to NULL after a failure. */
static void explain(ql_control_service_t *control,
		    const ql_rpc_report_args *args, ql_rpc_report_res *res,
		    json_t **json)
{
	GError *error = NULL;

	*json = NULL;
	if (!control->explain) {
		res->status = QL_E_NOT_FOUND;
		res->detail = copy_text("this process has no call path, ask a "
					"node that receives requests");
		return;
	}
	res->status = control->explain(control->explain_data, json,
				       args->filter, &error);
	if (!res->status)
		return;
	res->detail = copy_text(error->message);
	g_error_free(error);
}

static void handle_report(void *data, const void *in, void *out)
{
	ql_control_service_t *control = data;
	const ql_rpc_report_args *args = in;
	ql_rpc_report_res *res = out;
	json_t *json;

	res->clock =
		ql_greeting_observe_clock(control->hlc, args->greeting.clock);
	if (ql_greeting_is_refused(&args->greeting, control->settings->cluster,
				   &res->status, &res->detail))
		return;
	if (!strcmp(args->topic, TOPIC_EXPLAIN))
		explain(control, args, res, &json);
	else
		json = control->report(control->report_data, args->topic,
				       args->filter);
	if (res->status)
		return;
	if (!json) {
		res->status = QL_E_NOT_FOUND;
		res->detail = copy_text("no report with this topic");
		return;
	}
	res->detail = copy_text("");
	res->report.report_val = ql_json_dump(json);
	res->report.report_len = (u_int)strlen(res->report.report_val);
	json_decref(json);
}

static void handle_quota(void *data, const void *in, void *out)
{
	ql_control_service_t *control = data;
	const ql_rpc_quota_args *args = in;
	ql_rpc_quota_res *res = out;

	res->clock =
		ql_greeting_observe_clock(control->hlc, args->greeting.clock);
	if (ql_greeting_is_refused(&args->greeting, control->settings->cluster,
				   &res->status, &res->detail)) {
		res->leader = copy_text("");
	} else if (!control->settings->replica) {
		res->status = QL_E_UNAVAILABLE;
		res->detail = copy_text("this process is not a replica");
		res->leader = copy_text("");
	} else {
		ql_quota_service_handle(&control->quota, args, res);
	}
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
	PROCEDURE(QL_OFFER, offer, handle_offer),
	PROCEDURE(QL_EXCHANGE, exchange, handle_exchange),
	PROCEDURE(QL_QUOTA, quota, handle_quota),
};

static int init_replica(ql_control_service_t *control, GError **error)
{
	ql_replica_service_t *replica = &control->replica;

	ql_config_state_init(&control->state);
	if (!control->settings->replica)
		return 0;
	replica->settings = control->settings;
	replica->counters = control->counters;
	replica->hlc = control->hlc;
	replica->timeline = control->timeline;
	replica->lock = &control->lock;
	replica->state = &control->state;
	replica->incarnation = control->incarnation;
	control->quota.settings = control->settings;
	control->quota.counters = control->counters;
	control->quota.replica = replica;
	ql_quota_service_init(&control->quota);
	return ql_replica_service_init(replica, error);
}

static int init_registrar(ql_control_service_t *control, GError **error)
{
	ql_registrar_service_t *registrar = &control->registrar;

	registrar->settings = control->settings;
	registrar->hlc = control->hlc;
	registrar->lock = &control->lock;
	registrar->incarnation = control->incarnation;
	return ql_registrar_service_init(registrar, &control->state, error);
}

static int init_lease(ql_control_service_t *control, const ql_member_ops_t *ops,
		      void *ops_data, GError **error)
{
	ql_lease_service_t *lease = &control->lease;

	lease->settings = control->settings;
	lease->describe_endpoints = control->describe_endpoints;
	lease->describe_endpoints_data = control->describe_endpoints_data;
	lease->counters = control->counters;
	lease->hlc = control->hlc;
	lease->incarnation = control->incarnation;
	return ql_lease_service_init(lease, ops, ops_data, error);
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
	if (control->settings->replica)
		control->rpc.programs[control->rpc.n_programs++] =
			ql_replica_service_program(&control->replica);
	if (control->claims)
		ql_claim_service_program(
			&control->rpc.programs[control->rpc.n_programs++],
			control->claims);
	return ql_rpc_server_start(&control->rpc, address, error);
}

int ql_control_service_start(ql_control_service_t *control,
			     const ql_member_ops_t *ops, void *ops_data,
			     GError **error)
{
	int ret;

	control->incarnation = (uint64_t)g_get_real_time();
	pthread_mutex_init(&control->lock, NULL);
	ret = init_replica(control, error);
	if (!ret)
		ret = init_registrar(control, error);
	if (!ret && ops)
		ret = init_lease(control, ops, ops_data, error);
	control->has_lease = ops != NULL;
	if (!ret)
		ret = start_rpc(control, error);
	if (ret)
		return ret;
	if (control->settings->replica)
		ql_replica_service_start(&control->replica);
	ql_registrar_service_start(&control->registrar);
	if (control->has_lease)
		ql_lease_service_start(&control->lease);
	return 0;
}

void ql_control_service_stop(ql_control_service_t *control)
{
	if (control->has_lease)
		ql_lease_service_stop(&control->lease);
	ql_log(LOG_INFO, "part_stopped", QL_STR("part", "lease"));
	ql_registrar_service_stop(&control->registrar);
	ql_log(LOG_INFO, "part_stopped", QL_STR("part", "registrar"));
	if (control->settings->replica)
		ql_replica_service_stop(&control->replica);
	ql_log(LOG_INFO, "part_stopped", QL_STR("part", "replica"));
	ql_rpc_server_stop(&control->rpc);
	ql_log(LOG_INFO, "part_stopped", QL_STR("part", "control"));
	if (control->has_lease)
		ql_lease_service_finish(&control->lease);
	ql_registrar_service_finish(&control->registrar);
	if (control->settings->replica) {
		ql_quota_service_finish(&control->quota);
		ql_replica_service_finish(&control->replica);
	}
	ql_config_state_finish(&control->state);
	pthread_mutex_destroy(&control->lock);
}
