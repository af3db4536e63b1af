#ifndef QL_NODE_REPLICA_DISK_H
#define QL_NODE_REPLICA_DISK_H

/**
 * DOC: The thread that carries out the writes of a replica, one at a time. A
 * write that fails is repeated until it succeeds.
 */

#include "quetzalloft/replica.h"
#include "quetzalloft/ring.h"

#include <pthread.h>

G_BEGIN_DECLS

/**
 * struct ql_replica_disk - The journal of a replica and the thread that writes
 * it.
 * @folder: folder of the journal
 * @journal: the journal; used only by the disk thread once it runs
 * @wake_ring: this struct is pushed to it when a write has ended; borrowed
 * @lock: guards @write to @stopping
 * @write_queued: signalled when @has_write or @stopping was set
 * @write: the write in progress
 * @has_write: there is a write in progress
 * @last_synced_write: number of the last write that was synced
 * @failing: the last attempt of the write in progress failed
 * @n_failures: number of attempts that failed
 * @stopping: the thread is to end
 * @thread: the disk thread; NULL before ql_replica_disk_start()
 */
typedef struct ql_replica_disk {
	ql_folder_disk_t folder;
	ql_journal_t journal;
	ql_ring_t *wake_ring;
	pthread_mutex_t lock;
	pthread_cond_t write_queued;
	ql_replica_write_t write;
	bool has_write;
	uint64_t last_synced_write;
	bool failing;
	uint64_t n_failures;
	bool stopping;
	GThread *thread;
} ql_replica_disk_t;

/**
 * ql_replica_disk_init() - Open the journal.
 * @disk: uninitialised memory
 * @folder: path of the data folder
 * @wake_ring: ring to push @disk to when a write has ended; borrowed
 * @error: set on failure
 *
 * Bytes that were cut from a damaged end of the journal are logged.
 *
 * Return: 0, or an error of ql_folder_disk_init() or ql_journal_open(). After a
 * failure there is nothing to release.
 */
int ql_replica_disk_init(ql_replica_disk_t *disk, const char *folder,
			 ql_ring_t *wake_ring, GError **error);

/**
 * ql_replica_disk_start() - Start the disk thread.
 * @disk: the disk
 */
void ql_replica_disk_start(ql_replica_disk_t *disk);

/**
 * ql_replica_disk_write() - Start a write; no other may be in progress.
 * @disk: the disk
 * @write: the write; ownership of its content passes to @disk
 */
void ql_replica_disk_write(ql_replica_disk_t *disk,
			   const ql_replica_write_t *write);

/**
 * struct ql_replica_disk_progress - Progress of the writes.
 * @last_synced_write: number of the last write that was synced, or 0
 * @n_failures: number of attempts that have failed since the start
 * @failing: the last attempt of the write in progress has failed
 */
typedef struct ql_replica_disk_progress {
	uint64_t last_synced_write;
	uint64_t n_failures;
	bool failing;
} ql_replica_disk_progress_t;

/**
 * ql_replica_disk_poll() - Get the progress of the writes.
 * @disk: the disk
 * @progress: the progress
 */
void ql_replica_disk_poll(ql_replica_disk_t *disk,
			  ql_replica_disk_progress_t *progress);

/**
 * ql_replica_disk_finish() - Stop the thread after the write in progress, or
 * after the present attempt of one that fails, and close the journal.
 * @disk: the disk
 */
void ql_replica_disk_finish(ql_replica_disk_t *disk);

G_END_DECLS

#endif
