#ifndef QL_TESTS_NODE_REPLICA_SUBMIT_H
#define QL_TESTS_NODE_REPLICA_SUBMIT_H

/*
 * Submits a patch to a replica service whose thread does not run. This is C, as
 * the header of the ring is not valid C++.
 */

#include "quetzalloft/config_state.h"

G_BEGIN_DECLS

typedef struct test_submission {
	bool is_leader;
	const char *id;
	size_t length;
	ql_patch_answer_t answer;
	/* Patches that the replica thread would get. */
	size_t n_passed_on;
} test_submission_t;

void test_submit_patch(test_submission_t *submission);

G_END_DECLS

#endif
