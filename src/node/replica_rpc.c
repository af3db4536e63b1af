#include "control/greeting.h"
#include "control/rpc_server.h"
#include "node/replica_service.h"
#include "quetzalloft/error.h"
#include "quetzalloft/log.h"

#include <stdlib.h>
#include <string.h>

static char *copy_text(const char *text)
{
	return strdup(text);
}

void ql_replica_service_submit(ql_replica_service_t *service,
			       const ql_patch_t *patch,
			       ql_patch_answer_t *answer, char *leader)
{
	ql_replica_input_t *input;
	uint64_t version;
	bool found, is_leader;
	int status;

	pthread_mutex_lock(service->lock);
	found = ql_config_state_find_answer(service->state, patch, answer);
	version = service->state->doc->version;
	pthread_mutex_unlock(service->lock);
	pthread_mutex_lock(&service->view_lock);
	is_leader = service->view.is_leader;
	g_strlcpy(leader, service->view.leader_address, QL_ADDRESS_MAX);
	pthread_mutex_unlock(&service->view_lock);
	if (found)
		return;
	status = leader[0] ? QL_E_NOT_LEADER : QL_E_UNAVAILABLE;
	/* The replica thread has no way to answer. */
	if (!g_utf8_validate(patch->id, -1, NULL)) {
		status = QL_E_INVALID;
	} else if (patch->length > QL_RPC_PATCH_MAX) {
		status = QL_E_TOO_LARGE;
	} else if (is_leader) {
		input = g_new0(ql_replica_input_t, 1);
		input->kind = QL_REPLICA_INPUT_PATCH;
		input->patch_text = g_memdup2(patch->text, patch->length);
		input->patch = *patch;
		input->patch.text = input->patch_text;
		status = ql_replica_service__push(service, input)
				 ? QL_E_UNAVAILABLE
				 : QL_E_PENDING;
	}
	ql_replicated_config_set_undecided(answer, status, version);
}

/* The caller holds @view_lock. */
static int read_status(const ql_replica_service_t *service, uint64_t token)
{
	const ql_replica_read_slot_t *slot =
		&service->reads[token % QL_REPLICA_READ_SLOTS];

	return slot->token == token ? slot->status : QL_E_NOT_FOUND;
}

static int push_read(ql_replica_service_t *service, uint64_t *token)
{
	ql_replica_input_t *input = g_new0(ql_replica_input_t, 1);

	input->kind = QL_REPLICA_INPUT_READ;
	input->token = *token;
	return ql_replica_service__push(service, input) ? QL_E_UNAVAILABLE
							: QL_E_PENDING;
}

int ql_replica_service_read(ql_replica_service_t *service, uint64_t *token)
{
	ql_replica_read_slot_t *slot;
	int ret = QL_E_NOT_FOUND;
	bool is_leader;

	pthread_mutex_lock(&service->view_lock);
	is_leader = service->view.is_leader;
	if (*token)
		ret = read_status(service, *token);
	if (is_leader && ret == QL_E_NOT_FOUND) {
		*token = service->next_read++;
		slot = &service->reads[*token % QL_REPLICA_READ_SLOTS];
		slot->token = *token;
		slot->status = QL_E_PENDING;
	}
	pthread_mutex_unlock(&service->view_lock);
	if (!is_leader)
		return QL_E_NOT_LEADER;
	return ret == QL_E_NOT_FOUND ? push_read(service, token) : ret;
}

/*
 * Moves the messages out of the arguments, which the RPC server owns and frees
 * after the call.
 */
static ql_replica_input_t *move_messages(ql_rpc_replica_deliver_args *args)
{
	ql_replica_input_t *input = g_new0(ql_replica_input_t, 1);

	input->kind = QL_REPLICA_INPUT_MESSAGES;
	g_strlcpy(input->address, args->address, sizeof(input->address));
	input->messages = args->messages.messages_val;
	input->n_messages = args->messages.messages_len;
	args->messages.messages_val = NULL;
	args->messages.messages_len = 0;
	return input;
}

static void handle_deliver(void *data, const void *in, void *out)
{
	ql_replica_service_t *service = data;
	const ql_rpc_replica_deliver_args *args = in;
	ql_rpc_replica_deliver_res *res = out;

	res->clock =
		ql_greeting_observe_clock(service->hlc, args->greeting.clock);
	if (ql_greeting_is_refused(&args->greeting, service->settings->cluster,
				   &res->status, &res->detail))
		return;
	res->detail = copy_text("");
	if (ql_replica_service__push(
		    service,
		    move_messages((ql_rpc_replica_deliver_args *)args)))
		res->status = QL_E_FULL;
}

static void fill_members(const ql_replica_view_t *view,
			 ql_rpc_replica_members *members)
{
	ql_rpc_replica_member *out = calloc(view->n_members + 1, sizeof(*out));
	size_t i;

	g_assert(out);
	members->members.members_val = out;
	members->members.members_len = (u_int)view->n_members;
	for (i = 0; i < view->n_members; i++) {
		out[i].id = view->members[i].id;
		out[i].address = copy_text(view->members[i].address);
		out[i].voter = view->members[i].voter;
	}
}

static void fill_status(const ql_replica_view_t *view,
			ql_rpc_replica_status_res *res)
{
	res->status = view->failed	      ? QL_E_IO
		      : view->identity_synced ? 0
					      : QL_E_PENDING;
	res->id = view->state.identity;
	res->leader = view->leader;
	res->leader_address = copy_text(view->leader_address);
	res->term = view->state.term;
	res->role = copy_text(view->role);
	res->log_index = view->log_index;
	res->commit = view->state.commit;
	res->applied = view->applied;
	res->members_settled = view->members_settled;
	fill_members(view, &res->members);
}

static void handle_status(void *data, const void *in, void *out)
{
	ql_replica_service_t *service = data;
	const ql_rpc_replica_status_args *args = in;
	ql_rpc_replica_status_res *res = out;

	res->clock =
		ql_greeting_observe_clock(service->hlc, args->greeting.clock);
	if (ql_greeting_is_refused(&args->greeting, service->settings->cluster,
				   &res->status, &res->detail)) {
		res->role = copy_text("");
		res->leader_address = copy_text("");
		return;
	}
	res->detail = copy_text("");
	pthread_mutex_lock(&service->view_lock);
	fill_status(&service->view, res);
	pthread_mutex_unlock(&service->view_lock);
	pthread_mutex_lock(service->lock);
	res->config_version = service->state->doc->version;
	pthread_mutex_unlock(service->lock);
}

static bool has_result_for(const ql_replica_change_slot_t *slot,
			   const ql_rpc_replica_change_args *args)
{
	return slot->is_undelivered && slot->kind == args->kind &&
	       slot->id == args->id && !strcmp(slot->address, args->address);
}

/*
 * Passes the change to the replica thread and answers QL_E_PENDING. The client
 * sends the same call again, which is answered with the result once the
 * replica thread has published it.
 */
static void handle_change(void *data, const void *in, void *out)
{
	ql_replica_service_t *service = data;
	const ql_rpc_replica_change_args *args = in;
	ql_rpc_replica_change_res *res = out;
	ql_replica_change_t change = {args->kind, args->id, args->address};
	bool is_leader;

	res->clock =
		ql_greeting_observe_clock(service->hlc, args->greeting.clock);
	res->leader_address = copy_text("");
	if (ql_greeting_is_refused(&args->greeting, service->settings->cluster,
				   &res->status, &res->detail))
		return;
	free(res->leader_address);
	pthread_mutex_lock(&service->view_lock);
	is_leader = service->view.is_leader;
	res->leader_address = copy_text(service->view.leader_address);
	res->status = is_leader ? QL_E_PENDING : QL_E_NOT_LEADER;
	if (is_leader && has_result_for(&service->change, args)) {
		res->status = service->change.status;
		res->detail = copy_text(service->change.detail);
		service->change.is_undelivered = false;
	}
	pthread_mutex_unlock(&service->view_lock);
	if (!res->detail)
		res->detail = copy_text(
			is_leader ? "the change is pending; send it again"
				  : "another replica leads");
	if (is_leader && res->status == QL_E_PENDING)
		ql_replica_service__push_change(service, &change);
}

#define PROCEDURE(number, name, handler)                             \
	{                                                            \
		number, (xdrproc_t)xdr_ql_rpc_replica_##name##_args, \
			(xdrproc_t)xdr_ql_rpc_replica_##name##_res,  \
			sizeof(ql_rpc_replica_##name##_args),        \
			sizeof(ql_rpc_replica_##name##_res), handler \
	}

static const ql_rpc_procedure_t procedures[] = {
	PROCEDURE(QL_REPLICA_DELIVER, deliver, handle_deliver),
	PROCEDURE(QL_REPLICA_STATUS, status, handle_status),
	PROCEDURE(QL_REPLICA_CHANGE, change, handle_change),
};

ql_rpc_program_t ql_replica_service_program(ql_replica_service_t *service)
{
	return (ql_rpc_program_t){
		.number = QL_REPLICA_PROGRAM,
		.version = QL_REPLICA_V1,
		.procedures = procedures,
		.n_procedures = G_N_ELEMENTS(procedures),
		.data = service,
	};
}
