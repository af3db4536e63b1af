#include "node/announcements.h"
#include "node/http_response.h"
#include "node/path_jobs.h"
#include "quetzalloft/error.h"
#include "quetzalloft/log.h"

#include <string.h>
#include <strings.h>

#define PATH_INSTANCES "/quetzalloft/instances/"
/*
 * Most time until the registrars have saved a withdrawal. The endpoint waits
 * for a second, so a later confirmation would be lost.
 */
#define SAVE_TIMEOUT_MS 800u

static void set_text(struct _u_response *response, unsigned int status,
		     const char *text)
{
	ql_response_set_text(response, status, "text/plain", text);
}

static int check_instance(const char *instance, GError **error)
{
	size_t length = strlen(instance);

	if (length && length < QL_INSTANCE_MAX)
		return 0;
	return ql_error_set(error, QL_E_RANGE,
			    "instance ID: found %zu bytes, allowed 1 to %d",
			    length, QL_INSTANCE_MAX - 1);
}

static int read_report(const ql_path_node_t *node, const char *instance,
		       const struct _u_request *request,
		       ql_instance_report_t *out, GError **error)
{
	int ret = check_instance(instance, error);

	if (!ret)
		ret = node->dialect->read_report(out, request->binary_body,
						 request->binary_body_length,
						 error);
	if (ret)
		return ret;
	g_strlcpy(out->instance, instance, sizeof(out->instance));
	return ql_local_gate_check_report(&node->gate, out, ql_clock_wall_ms(),
					  error);
}

static void refuse(ql_path_node_t *node, struct _u_response *response,
		   GError *error)
{
	ql_counter_increment(&node->context.counters, QL_COUNT_REPORTS_REFUSED);
	ql_log_error(LOG_INFO, "announcement_refused", error);
	set_text(response, 400, error->message);
	g_error_free(error);
}

/* Confirms a withdrawal that was posted to the gate with the result @ret. */
static void confirm_withdrawal(ql_path_node_t *node, int ret,
			       const ql_withdrawal_t *withdrawal,
			       struct _u_response *response)
{
	ql_lease_service_t *lease = &node->control.lease;

	if (ret) {
		set_text(response, 503, "busy\n");
		return;
	}
	ql_lease_service_withdraw(lease, withdrawal);
	if (ql_lease_service_wait_saved(lease, SAVE_TIMEOUT_MS)) {
		ql_response_set_text(response, 200, "application/json", "{}");
		return;
	}
	ql_log(LOG_WARNING, "withdrawal_unconfirmed",
	       QL_STR("instance", withdrawal->instance));
	set_text(response, 503, "the registrars have not saved it yet\n");
}

/* Keeps the start of the latest run that has reported. */
static void record_start(ql_path_node_t *node,
			 const ql_instance_report_t *report)
{
	pthread_mutex_lock(&node->lock);
	if (report->incarnation >= node->latest_run.incarnation)
		node->latest_run = *report;
	pthread_mutex_unlock(&node->lock);
}

static void handle_report(ql_path_node_t *node, const char *instance,
			  const struct _u_request *request,
			  struct _u_response *response)
{
	ql_instance_report_t report = {0};
	ql_withdrawal_t withdrawal;
	GError *error = NULL;
	int ret;

	if (read_report(node, instance, request, &report, &error)) {
		refuse(node, response, error);
		return;
	}
	record_start(node, &report);
	ret = ql_path_jobs_apply_report(node, &report);
	if (report.draining) {
		ql_withdrawal_init(&withdrawal, instance, report.incarnation,
				   report.sequence);
		confirm_withdrawal(node, ret, &withdrawal, response);
	} else if (ret) {
		set_text(response, 503, "busy\n");
	} else {
		ql_response_set_text(response, 200, "application/json", "{}");
	}
}

/*
 * Describes the deregistration of a run. A run that has not reported since the
 * start of this process has started before now. Returns false if a later run
 * has reported.
 */
static bool describe_deregistration(ql_path_node_t *node, const char *instance,
				    ql_withdrawal_t *out)
{
	ql_instance_report_t latest;

	pthread_mutex_lock(&node->lock);
	latest = node->latest_run;
	pthread_mutex_unlock(&node->lock);
	if (latest.instance[0] && strcmp(latest.instance, instance) != 0)
		return false;
	ql_withdrawal_init(out, instance,
			   latest.instance[0] ? latest.incarnation
					      : ql_clock_wall_ms(),
			   QL_WITHDRAWAL_FINAL);
	return true;
}

static void handle_deregistration(ql_path_node_t *node, const char *instance,
				  struct _u_response *response)
{
	ql_withdrawal_t withdrawal;
	GError *error = NULL;

	if (check_instance(instance, &error))
		refuse(node, response, error);
	else if (!describe_deregistration(node, instance, &withdrawal))
		ql_response_set_text(response, 200, "application/json", "{}");
	else
		confirm_withdrawal(node,
				   ql_path_jobs_withdraw(node, &withdrawal),
				   &withdrawal, response);
}

void ql_announcements_handle(void *data, const struct _u_request *request,
			     struct _u_response *response)
{
	ql_path_node_t *node = data;
	const char *instance = request->url_path + strlen(PATH_INSTANCES);

	if (strncmp(request->url_path, PATH_INSTANCES,
		    strlen(PATH_INSTANCES)) != 0)
		set_text(response, 404, "not found\n");
	else if (!strcasecmp(request->http_verb, "PUT"))
		handle_report(node, instance, request, response);
	else if (!strcasecmp(request->http_verb, "DELETE"))
		handle_deregistration(node, instance, response);
	else
		set_text(response, 405, "PUT, DELETE\n");
}
