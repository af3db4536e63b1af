#ifndef QL_NODE_WITHDRAWAL_STORE_H
#define QL_NODE_WITHDRAWAL_STORE_H

/**
 * DOC: The withdrawals of a registrar in a file of its data folder. One thread
 * writes, as the disk may be slow. A write that fails is repeated until it
 * succeeds; until then, nodes do not confirm what it holds.
 */

#include "quetzalloft/registrar.h"
#include "store/frame_file.h"

#include <pthread.h>
#include <stdbool.h>

G_BEGIN_DECLS

/**
 * struct ql_withdrawal_store - The file and the thread that writes it.
 * @registrar: the registrar; borrowed
 * @lock: guards @registrar and @stopping; borrowed
 * @folder: the data folder; after the start used by the thread only
 * @file: the file; after the start used by the thread only
 * @needs_replacement: the end of the file may be torn
 * @replaced_bytes: length of the file when it was last replaced
 * @changed: signalled when a withdrawal has changed, or @stopping
 * @stopping: the thread is to end
 * @thread: the thread; NULL when it does not run
 */
typedef struct ql_withdrawal_store {
	ql_registrar_t *registrar;
	pthread_mutex_t *lock;
	ql_folder_disk_t folder;
	ql_frame_file_t file;
	bool needs_replacement;
	uint64_t replaced_bytes;
	pthread_cond_t changed;
	bool stopping;
	GThread *thread;
} ql_withdrawal_store_t;

/**
 * ql_withdrawal_store_init() - Open the file and restore the withdrawals in it.
 * @store: zeros, with @registrar and @lock set
 * @folder: path of the data folder
 * @is_locked: the replica of this process has locked the folder
 * @now_ms: current time of the registrar
 * @error: set on failure
 *
 * Withdrawals that cannot be read are logged and left out.
 *
 * Return: 0, QL_E_EXISTS if another process has locked the folder, or QL_E_IO.
 * After a failure there is nothing to release.
 */
int ql_withdrawal_store_init(ql_withdrawal_store_t *store, const char *folder,
			     bool is_locked, uint64_t now_ms, GError **error);

/**
 * ql_withdrawal_store_start() - Start the thread.
 * @store: the store
 */
void ql_withdrawal_store_start(ql_withdrawal_store_t *store);

/**
 * ql_withdrawal_store_wake() - Tell the thread that a withdrawal may have
 * changed. The caller holds @lock.
 * @store: the store
 */
void ql_withdrawal_store_wake(ql_withdrawal_store_t *store);

/**
 * ql_withdrawal_store_stop() - Wait for the end of the thread.
 * @store: the store
 */
void ql_withdrawal_store_stop(ql_withdrawal_store_t *store);

/**
 * ql_withdrawal_store_finish() - Close the folder.
 * @store: a stopped store
 */
void ql_withdrawal_store_finish(ql_withdrawal_store_t *store);

G_END_DECLS

#endif
