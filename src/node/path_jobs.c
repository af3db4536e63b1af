#include "node/path_jobs.h"
#include "quetzalloft/error.h"
#include "quetzalloft/log.h"

#include <string.h>

/* One piece of news; which members count depends on the kind. */
typedef struct {
	ql_loop_job_t job;
	ql_path_node_t *node;
	char service[QL_NAME_MAX];
	char gate[QL_ADDRESS_MAX];
	ql_endpoint_info_t info;
	ql_document_t *doc;
	ql_instance_report_t report;
	void (*action)(ql_path_node_t *node);
} news_t;

static news_t *news_new(ql_path_node_t *node, void (*run)(ql_loop_job_t *job))
{
	news_t *news = g_new0(news_t, 1);

	news->job.run = run;
	news->node = node;
	return news;
}

static int post(news_t *news)
{
	int ret = ql_loop_post(&news->node->loop, &news->job);

	if (!ret)
		return 0;
	ql_log(LOG_ERR, "loop_overrun",
	       QL_STR("detail", "news for the path of calls were dropped"));
	ql_document_unref(news->doc);
	g_free(news);
	return ret;
}

static void run_action(ql_loop_job_t *job)
{
	news_t *news = (news_t *)job;

	news->action(news->node);
	g_free(news);
}

static void post_action(ql_path_node_t *node,
			void (*action)(ql_path_node_t *node))
{
	news_t *news = news_new(node, run_action);

	news->action = action;
	post(news);
}

static void run_up(ql_loop_job_t *job)
{
	news_t *news = (news_t *)job;

	ql_front_add_endpoint(&news->node->front, news->service, &news->info);
	g_free(news);
}

void ql_path_jobs_endpoint_up(ql_path_node_t *node, const char *service,
			      const ql_endpoint_info_t *info)
{
	news_t *news = news_new(node, run_up);

	g_strlcpy(news->service, service, sizeof(news->service));
	news->info = *info;
	post(news);
}

static void run_gone(ql_loop_job_t *job)
{
	news_t *news = (news_t *)job;

	ql_front_remove_endpoint(&news->node->front, news->service, news->gate);
	g_free(news);
}

void ql_path_jobs_endpoint_gone(ql_path_node_t *node, const char *service,
				const char *gate)
{
	news_t *news = news_new(node, run_gone);

	g_strlcpy(news->service, service, sizeof(news->service));
	g_strlcpy(news->gate, gate, sizeof(news->gate));
	post(news);
}

static void set_limits(ql_listener_t *listener,
		       const ql_client_limits_t *limits)
{
	listener->opts.head_limit_bytes = limits->head_bytes;
	listener->opts.body_limit_bytes = limits->body_bytes;
	listener->opts.head_timeout_ms = (uint32_t)limits->head_ms;
	listener->opts.idle_timeout_ms = (uint32_t)limits->idle_ms;
}

static void run_document(ql_loop_job_t *job)
{
	news_t *news = (news_t *)job;

	ql_front_set_document(&news->node->front, news->doc);
	set_limits(&news->node->clients, &news->doc->limits);
	ql_log(LOG_NOTICE, "document_in_force",
	       QL_UINT("version", news->doc->version));
	ql_document_unref(news->doc);
	g_free(news);
}

void ql_path_jobs_document(ql_path_node_t *node, ql_document_t *doc)
{
	news_t *news = news_new(node, run_document);

	news->doc = ql_document_ref(doc);
	post(news);
}

static void set_ready(ql_path_node_t *node)
{
	node->front.ready = true;
}

void ql_path_jobs_ready(ql_path_node_t *node)
{
	post_action(node, set_ready);
}

static void run_report(ql_loop_job_t *job)
{
	news_t *news = (news_t *)job;

	ql_local_gate_apply_report(&news->node->gate, &news->report);
	g_free(news);
}

int ql_path_jobs_report(ql_path_node_t *node,
			const ql_instance_report_t *report)
{
	news_t *news = news_new(node, run_report);

	news->report = *report;
	return post(news);
}

static void run_leave(ql_loop_job_t *job)
{
	news_t *news = (news_t *)job;

	ql_local_gate_deregister(&news->node->gate, news->report.instance);
	g_free(news);
}

int ql_path_jobs_leave(ql_path_node_t *node, const char *instance)
{
	news_t *news = news_new(node, run_leave);

	g_strlcpy(news->report.instance, instance,
		  sizeof(news->report.instance));
	return post(news);
}

static void count(ql_path_node_t *node)
{
	int n = (int)(node->clients.n_exchanges + node->gates.n_exchanges +
		      g_hash_table_size(node->gate.calls));

	__atomic_store_n(&node->in_progress, n, __ATOMIC_RELEASE);
}

void ql_path_jobs_count(ql_path_node_t *node)
{
	post_action(node, count);
}

static void begin_close(ql_path_node_t *node)
{
	ql_listener_disable_keep_alive(&node->clients);
}

void ql_path_jobs_begin_close(ql_path_node_t *node)
{
	post_action(node, begin_close);
}

static void drain_gate(ql_path_node_t *node)
{
	ql_local_gate_drain(&node->gate);
	ql_listener_disable_keep_alive(&node->gates);
}

void ql_path_jobs_drain_gate(ql_path_node_t *node)
{
	post_action(node, drain_gate);
}

static void refuse_new(ql_path_node_t *node)
{
	node->front.draining = true;
}

void ql_path_jobs_refuse_new(ql_path_node_t *node)
{
	post_action(node, refuse_new);
}

static void set_ratio(ql_path_node_t *node)
{
	double ratio;

	pthread_mutex_lock(&node->lock);
	ratio = node->repeat_ratio;
	pthread_mutex_unlock(&node->lock);
	ql_front_set_repeat_ratio(&node->front, ratio);
}

void ql_path_jobs_set_ratio(ql_path_node_t *node)
{
	post_action(node, set_ratio);
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
	ql_listener_stop(&node->clients);
	ql_listener_stop(&node->gates);
	ql_hops_finish(&node->hops);
	ql_local_gate_finish(&node->gate);
	ql_loop_stop(&node->loop);
}

void ql_path_jobs_stop(ql_path_node_t *node)
{
	post_action(node, stop);
}
