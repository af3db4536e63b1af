#include "node/path_explain.h"
#include "node/path_node.h"
#include "path/front_explain.h"
#include "quetzalloft/clock.h"
#include "quetzalloft/error.h"
#include "quetzalloft/json.h"
#include "quetzalloft/thread.h"

#include <string.h>

#define ANSWER_TIMEOUT_MS 500

/* The loop and the thread that waits each hold a reference. */
typedef struct {
	ql_loop_job_t job;
	ql_path_node_t *node;
	ql_explain_request_t request;
	int references;
	pthread_mutex_t lock;
	pthread_cond_t done_changed;
	bool done;
	int ret;
	json_t *json;
	GError *error;
} explain_job_t;

static const ql_json_member_t members[] = {
	QL_MEMBER_STRING(ql_explain_request_t, host, false, 0),
	QL_MEMBER_STRING(ql_explain_request_t, method, false, 1),
	QL_MEMBER_STRING(ql_explain_request_t, path, true, 1),
	QL_MEMBER_STRING(ql_explain_request_t, key, false, 1),
	QL_MEMBER_BOOL(ql_explain_request_t, call, false),
};

/* The message of a parser is left out, as it could quote the key. */
static int read_request(ql_explain_request_t *request, const char *filter,
			GError **error)
{
	json_t *json = NULL;
	int ret = ql_json_parse(&json, filter, strlen(filter), NULL);

	memset(request, 0, sizeof(*request));
	g_strlcpy(request->method, "GET", sizeof(request->method));
	if (!ret)
		ret = ql_json_read(request, json, "", members,
				   G_N_ELEMENTS(members), NULL);
	json_decref(json);
	return ret ? ql_error_set(error, QL_E_INVALID,
				  "the filter of the topic explain is "
				  "malformed")
		   : 0;
}

static void job_unref(explain_job_t *job)
{
	if (__atomic_sub_fetch(&job->references, 1, __ATOMIC_ACQ_REL))
		return;
	json_decref(job->json);
	g_clear_error(&job->error);
	pthread_mutex_destroy(&job->lock);
	pthread_cond_destroy(&job->done_changed);
	/* Freed memory keeps no key. */
	memset(&job->request, 0, sizeof(job->request));
	g_free(job);
}

static void run_explain(ql_loop_job_t *loop_job)
{
	explain_job_t *job = (explain_job_t *)loop_job;

	pthread_mutex_lock(&job->lock);
	job->ret = ql_front_explain(&job->node->front, &job->json,
				    &job->request, &job->error);
	job->done = true;
	pthread_cond_signal(&job->done_changed);
	pthread_mutex_unlock(&job->lock);
	job_unref(job);
}

/* Takes over the result of a job, or sets an error if there is none in time. */
static int wait_for_result(explain_job_t *job, json_t **out, GError **error)
{
	uint64_t end_us = ql_clock_now_us() + ANSWER_TIMEOUT_MS * QL_US_PER_MS;
	int ret;

	pthread_mutex_lock(&job->lock);
	while (!job->done && ql_clock_now_us() < end_us)
		ql_cond_wait_until(&job->done_changed, &job->lock, end_us);
	if (job->done) {
		ret = job->ret;
		*out = g_steal_pointer(&job->json);
		if (ret)
			g_propagate_error(error, g_steal_pointer(&job->error));
	} else {
		ret = ql_error_set(error, QL_E_TIMEOUT,
				   "the call path did not answer in %d ms",
				   ANSWER_TIMEOUT_MS);
	}
	pthread_mutex_unlock(&job->lock);
	return ret;
}

static explain_job_t *job_new(ql_path_node_t *node,
			      const ql_explain_request_t *request)
{
	explain_job_t *job = g_new0(explain_job_t, 1);

	job->job.run = run_explain;
	job->node = node;
	job->request = *request;
	job->references = 2;
	pthread_mutex_init(&job->lock, NULL);
	ql_cond_init(&job->done_changed);
	return job;
}

int ql_path_explain(void *data, json_t **out, const char *filter,
		    GError **error)
{
	ql_path_node_t *node = data;
	ql_explain_request_t request;
	explain_job_t *job;
	int ret = read_request(&request, filter, error);

	*out = NULL;
	if (ret)
		return ret;
	job = job_new(node, &request);
	ret = ql_loop_post(&node->loop, &job->job);
	if (ret) {
		job->references = 1;
		ql_error_set(error, (ql_error_code_t)ret,
			     "the call path has too many jobs");
	} else {
		ret = wait_for_result(job, out, error);
	}
	job_unref(job);
	return ret;
}
