#ifndef QL_PATH_KEY_WATCH_H
#define QL_PATH_KEY_WATCH_H

/**
 * DOC: Watches the proof that the API keys of a node are current. It sets the
 * gauge of its age, and logs when the proof is lost (key_proof_lost) and
 * regained (key_proof_regained), at most once in each period.
 */

#include "path/front.h"

G_BEGIN_DECLS

/**
 * struct ql_key_watch - Watch of one node.
 * @loop: loop that the watch runs on
 * @front: front end whose proof is watched; borrowed
 * @timer: fires when the next look is due
 * @proven: the keys were proven current at the last look
 */
typedef struct ql_key_watch {
	ql_loop_t *loop;
	ql_front_t *front;
	ql_wheel_timer_t timer;
	bool proven;
} ql_key_watch_t;

/**
 * ql_key_watch_start() - Start the watch. Without a setting for the proof it
 * does nothing.
 * @watch: the watch
 * @loop: loop that the watch runs on
 * @front: front end; borrowed
 */
void ql_key_watch_start(ql_key_watch_t *watch, ql_loop_t *loop,
			ql_front_t *front);

/**
 * ql_key_watch_stop() - Stop the watch.
 * @watch: the watch, started
 */
void ql_key_watch_stop(ql_key_watch_t *watch);

G_END_DECLS

#endif
