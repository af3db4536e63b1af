#include "node/path_jobs.h"
#include "quetzalloft/error.h"
#include "quetzalloft/log.h"

#include <string.h>

/* A job and its arguments; each kind of job uses only some members. */
typedef struct {
	ql_loop_job_t job;
	ql_path_node_t *node;
	char service[QL_NAME_MAX];
	char gate[QL_ADDRESS_MAX];
	ql_endpoint_info_t info;
	ql_document_t *doc;
	ql_instance_report_t report;
	ql_withdrawal_t withdrawal;
	ql_key_proof_t proof;
	uint64_t end_us;
	void (*action)(ql_path_node_t *node);
} path_job_t;

static path_job_t *path_job_new(ql_path_node_t *node,
				void (*run)(ql_loop_job_t *job))
{
	path_job_t *path_job = g_new0(path_job_t, 1);

	path_job->job.run = run;
	path_job->node = node;
	return path_job;
}

static int post(path_job_t *path_job)
{
	int ret = ql_loop_post(&path_job->node->loop, &path_job->job);

	if (!ret)
		return 0;
	ql_log(LOG_ERR, "loop_overrun",
	       QL_STR("detail", "the job queue is full, a job was dropped"));
	ql_document_unref(path_job->doc);
	g_free(path_job);
	return ret;
}

static void run_action(ql_loop_job_t *job)
{
	path_job_t *path_job = (path_job_t *)job;

	path_job->action(path_job->node);
	g_free(path_job);
}

static void post_action(ql_path_node_t *node,
			void (*action)(ql_path_node_t *node))
{
	path_job_t *path_job = path_job_new(node, run_action);

	path_job->action = action;
	post(path_job);
}

static void run_add_endpoint(ql_loop_job_t *job)
{
	path_job_t *path_job = (path_job_t *)job;

	ql_front_add_endpoint(&path_job->node->front, path_job->service,
			      &path_job->info);
	g_free(path_job);
}

/*
 * The incarnation of an endpoint is its start in microseconds of the wall clock
 * of its node. An endpoint that is added again, after a network partition say,
 * is not taken for one that starts.
 */
static uint64_t endpoint_age_us(const ql_endpoint_info_t *info)
{
	uint64_t wall_us = (uint64_t)g_get_real_time();

	return wall_us - MIN(info->incarnation, wall_us);
}

void ql_path_jobs_add_endpoint(ql_path_node_t *node, const char *service,
			       const ql_endpoint_info_t *info)
{
	path_job_t *path_job = path_job_new(node, run_add_endpoint);

	g_strlcpy(path_job->service, service, sizeof(path_job->service));
	path_job->info = *info;
	path_job->info.age_us = endpoint_age_us(info);
	post(path_job);
}

static void run_remove_endpoint(ql_loop_job_t *job)
{
	path_job_t *path_job = (path_job_t *)job;

	ql_front_remove_endpoint(&path_job->node->front, path_job->service,
				 path_job->gate);
	g_free(path_job);
}

void ql_path_jobs_remove_endpoint(ql_path_node_t *node, const char *service,
				  const char *gate)
{
	path_job_t *path_job = path_job_new(node, run_remove_endpoint);

	g_strlcpy(path_job->service, service, sizeof(path_job->service));
	g_strlcpy(path_job->gate, gate, sizeof(path_job->gate));
	post(path_job);
}

static void set_limits(ql_listener_t *listener,
		       const ql_client_limits_t *limits)
{
	listener->opts.head_limit_bytes = limits->head_bytes;
	listener->opts.body_limit_bytes = limits->body_bytes;
	listener->opts.head_timeout_ms = (uint32_t)limits->head_ms;
	listener->opts.idle_timeout_ms = (uint32_t)limits->idle_ms;
}

static void run_set_document(ql_loop_job_t *job)
{
	path_job_t *path_job = (path_job_t *)job;

	ql_front_set_document(&path_job->node->front, path_job->doc);
	set_limits(&path_job->node->client_listener, &path_job->doc->limits);
	ql_log(LOG_NOTICE, "document_in_force",
	       QL_UINT("version", path_job->doc->version));
	ql_document_unref(path_job->doc);
	g_free(path_job);
}

void ql_path_jobs_set_document(ql_path_node_t *node, ql_document_t *doc)
{
	path_job_t *path_job = path_job_new(node, run_set_document);

	path_job->doc = ql_document_ref(doc);
	post(path_job);
}

static void run_prove_keys(ql_loop_job_t *job)
{
	path_job_t *path_job = (path_job_t *)job;

	ql_front_prove_keys(&path_job->node->front, &path_job->proof);
	g_free(path_job);
}

void ql_path_jobs_prove_keys(ql_path_node_t *node, const ql_key_proof_t *proof)
{
	path_job_t *path_job = path_job_new(node, run_prove_keys);

	path_job->proof = *proof;
	post(path_job);
}

static void set_ready(ql_path_node_t *node)
{
	node->front.ready = true;
}

void ql_path_jobs_set_ready(ql_path_node_t *node)
{
	post_action(node, set_ready);
}

static void run_apply_report(ql_loop_job_t *job)
{
	path_job_t *path_job = (path_job_t *)job;

	ql_local_gate_apply_report(&path_job->node->gate, &path_job->report);
	g_free(path_job);
}

int ql_path_jobs_apply_report(ql_path_node_t *node,
			      const ql_instance_report_t *report)
{
	path_job_t *path_job = path_job_new(node, run_apply_report);

	path_job->report = *report;
	return post(path_job);
}

static void run_withdraw(ql_loop_job_t *job)
{
	path_job_t *path_job = (path_job_t *)job;

	ql_local_gate_withdraw(&path_job->node->gate, &path_job->withdrawal);
	g_free(path_job);
}

int ql_path_jobs_withdraw(ql_path_node_t *node,
			  const ql_withdrawal_t *withdrawal)
{
	path_job_t *path_job = path_job_new(node, run_withdraw);

	path_job->withdrawal = *withdrawal;
	return post(path_job);
}

static void open_gate(ql_path_node_t *node)
{
	ql_local_gate_open(&node->gate);
}

void ql_path_jobs_open_gate(ql_path_node_t *node)
{
	post_action(node, open_gate);
}

static void count_in_flight(ql_path_node_t *node)
{
	int n = (int)(ql_listener_count_unfinished(&node->client_listener) +
		      ql_listener_count_unfinished(&node->gate_listener) +
		      g_hash_table_size(node->gate.calls));

	__atomic_store_n(&node->requests_in_flight, n, __ATOMIC_RELEASE);
}

void ql_path_jobs_count_in_flight(ql_path_node_t *node)
{
	post_action(node, count_in_flight);
}

static void run_begin_drain(ql_loop_job_t *job)
{
	path_job_t *path_job = (path_job_t *)job;
	ql_path_node_t *node = path_job->node;

	ql_listener_disable_keep_alive(&node->client_listener);
	node->front.end_us = path_job->end_us;
	g_free(path_job);
}

void ql_path_jobs_begin_drain(ql_path_node_t *node, uint64_t end_us)
{
	path_job_t *path_job = path_job_new(node, run_begin_drain);

	path_job->end_us = end_us;
	post(path_job);
}

static void drain_gate(ql_path_node_t *node)
{
	ql_local_gate_drain(&node->gate);
	ql_listener_disable_keep_alive(&node->gate_listener);
}

void ql_path_jobs_drain_gate(ql_path_node_t *node)
{
	post_action(node, drain_gate);
}

static void refuse_new_requests(ql_path_node_t *node)
{
	node->front.draining = true;
}

void ql_path_jobs_refuse_new_requests(ql_path_node_t *node)
{
	post_action(node, refuse_new_requests);
}

static void set_repeat_ratio(ql_path_node_t *node)
{
	double ratio;

	pthread_mutex_lock(&node->lock);
	ratio = node->repeat_ratio;
	pthread_mutex_unlock(&node->lock);
	ql_front_set_repeat_ratio(&node->front, ratio);
}

void ql_path_jobs_set_repeat_ratio(ql_path_node_t *node)
{
	post_action(node, set_repeat_ratio);
}

static void fail_all(ql_path_node_t *node)
{
	ql_front_fail_all(&node->front);
}

void ql_path_jobs_fail_all(ql_path_node_t *node)
{
	post_action(node, fail_all);
}

static void stop(ql_path_node_t *node)
{
	ql_load_log_stop(&node->load_log);
	ql_key_watch_stop(&node->key_watch);
	ql_listener_stop(&node->client_listener);
	ql_listener_stop(&node->gate_listener);
	ql_hops_finish(&node->hops);
	ql_local_gate_finish(&node->gate);
	ql_loop_stop(&node->loop);
}

void ql_path_jobs_stop(ql_path_node_t *node)
{
	post_action(node, stop);
}
