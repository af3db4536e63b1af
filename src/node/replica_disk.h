#ifndef QL_NODE_REPLICA_DISK_H
#define QL_NODE_REPLICA_DISK_H

/**
 * DOC: The thread that carries out the writes of a replica, one at a time.
 */

#include "quetzalloft/replica.h"
#include "quetzalloft/ring.h"

#include <pthread.h>

G_BEGIN_DECLS

/**
 * struct ql_replica_disk - The journal and its thread.
 * @folder: where the journal is
 * @journal: used by the thread once it runs
 * @wake_ring: pushed when a write has ended
 * @write: the write in progress
 * @has_write: whether there is one
 * @last_synced_write: number of the last write that was synced
 * @failed: a write failed; no more is written
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
	bool failed;
	bool stopping;
	GThread *thread;
} ql_replica_disk_t;

/**
 * ql_replica_disk_init() - Open the journal.
 * @disk: the disk
 * @folder: the data folder
 * @wake: borrowed
 * @error: detail of a failure
 *
 * Return: 0, or a failure of ql_folder_disk_init() or ql_journal_open().
 */
int ql_replica_disk_init(ql_replica_disk_t *disk, const char *folder,
			 ql_ring_t *wake, GError **error);
void ql_replica_disk_start(ql_replica_disk_t *disk);

/**
 * ql_replica_disk_write() - Begin a write; there is none in progress.
 * @disk: the disk
 * @write: becomes the callee's
 */
void ql_replica_disk_write(ql_replica_disk_t *disk,
			   const ql_replica_write_t *write);

/**
 * ql_replica_disk_poll() - See how far the writes are.
 * @disk: the disk
 * @done: number of the last write that was synced
 *
 * Return: 0, or QL_E_IO when a write failed.
 */
int ql_replica_disk_poll(ql_replica_disk_t *disk, uint64_t *done);

/**
 * ql_replica_disk_finish() - End the thread after the write in progress.
 * @disk: the disk
 */
void ql_replica_disk_finish(ql_replica_disk_t *disk);

G_END_DECLS

#endif
