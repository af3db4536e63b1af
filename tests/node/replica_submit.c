#include "node/replica_submit.h"
#include "node/replica_service.h"

#include <string.h>

#define RING_ENTRIES 16

static size_t count_inputs(ql_replica_service_t *service)
{
	ql_replica_input_t *input;
	size_t n = 0;

	while ((input = ql_ring_pop(&service->inputs))) {
		g_free(input->patch_text);
		g_free(input);
		n++;
	}
	return n;
}

void test_submit_patch(test_submission_t *submission)
{
	ql_replica_service_t *service = g_new0(ql_replica_service_t, 1);
	pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
	char *text = g_strnfill(submission->length, ' ');
	ql_patch_t patch = {
		.text = text,
		.length = submission->length,
	};
	char leader[QL_ADDRESS_MAX];
	ql_config_state_t state;

	g_strlcpy(patch.id, submission->id, sizeof(patch.id));
	ql_config_state_init(&state);
	service->state = &state;
	service->lock = &lock;
	pthread_mutex_init(&service->view_lock, NULL);
	if (ql_ring_init(&service->inputs, RING_ENTRIES, NULL))
		g_assert_not_reached();
	service->view.is_leader = submission->is_leader;
	strcpy(service->view.leader_address, "10.0.0.4:8742");
	ql_replica_service_submit(service, &patch, &submission->answer, leader);
	submission->n_passed_on = count_inputs(service);
	ql_ring_finish(&service->inputs);
	pthread_mutex_destroy(&service->view_lock);
	ql_config_state_finish(&state);
	g_free(service);
	g_free(text);
}
