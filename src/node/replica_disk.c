#include "node/replica_disk.h"
#include "quetzalloft/error.h"
#include "quetzalloft/log.h"

#include <string.h>

int ql_replica_disk_init(ql_replica_disk_t *disk, const char *folder,
			 ql_ring_t *wake_ring, GError **error)
{
	ql_disk_t files = {&ql_folder_disk_ops, &disk->folder};
	int ret;

	memset(disk, 0, sizeof(*disk));
	disk->wake_ring = wake_ring;
	ret = ql_folder_disk_init(&disk->folder, folder, error);
	if (ret)
		return ret;
	ret = ql_journal_open(&disk->journal, &files, error);
	if (ret) {
		ql_folder_disk_finish(&disk->folder);
		return ret;
	}
	if (disk->journal.bytes_cut)
		ql_log(LOG_WARNING, "journal_tail_cut",
		       QL_UINT("bytes", disk->journal.bytes_cut));
	pthread_mutex_init(&disk->lock, NULL);
	pthread_cond_init(&disk->write_queued, NULL);
	return 0;
}

static bool wait_for_write(ql_replica_disk_t *disk)
{
	bool has_write;

	pthread_mutex_lock(&disk->lock);
	while (!disk->has_write && !disk->stopping)
		pthread_cond_wait(&disk->write_queued, &disk->lock);
	has_write = disk->has_write;
	pthread_mutex_unlock(&disk->lock);
	return has_write;
}

static void complete_write(ql_replica_disk_t *disk, bool failed)
{
	pthread_mutex_lock(&disk->lock);
	disk->has_write = false;
	disk->failed |= failed;
	if (!failed)
		disk->last_synced_write = disk->write.sequence;
	pthread_mutex_unlock(&disk->lock);
	/*
	 * When the ring is full, the replica thread has input and polls the
	 * disk anyway.
	 */
	ql_ring_push(disk->wake_ring, disk);
}

static void *run_disk_thread(void *data)
{
	ql_replica_disk_t *disk = data;
	GError *error = NULL;
	int ret;

	while (wait_for_write(disk)) {
		ret = ql_replica_write_run(&disk->write, &disk->journal,
					   &error);
		ql_replica_write_finish(&disk->write);
		if (ret)
			ql_log_error(LOG_CRIT, "journal_failed", error);
		g_clear_error(&error);
		complete_write(disk, ret != 0);
	}
	return NULL;
}

void ql_replica_disk_start(ql_replica_disk_t *disk)
{
	disk->thread = g_thread_new("replica-disk", run_disk_thread, disk);
}

void ql_replica_disk_write(ql_replica_disk_t *disk,
			   const ql_replica_write_t *write)
{
	pthread_mutex_lock(&disk->lock);
	disk->write = *write;
	disk->has_write = true;
	pthread_cond_signal(&disk->write_queued);
	pthread_mutex_unlock(&disk->lock);
}

int ql_replica_disk_poll(ql_replica_disk_t *disk, uint64_t *last_synced_write)
{
	int ret;

	pthread_mutex_lock(&disk->lock);
	*last_synced_write = disk->last_synced_write;
	ret = disk->failed ? QL_E_IO : 0;
	pthread_mutex_unlock(&disk->lock);
	return ret;
}

void ql_replica_disk_finish(ql_replica_disk_t *disk)
{
	if (disk->thread) {
		pthread_mutex_lock(&disk->lock);
		disk->stopping = true;
		pthread_cond_signal(&disk->write_queued);
		pthread_mutex_unlock(&disk->lock);
		g_thread_join(disk->thread);
	}
	ql_journal_finish(&disk->journal);
	ql_folder_disk_finish(&disk->folder);
	pthread_cond_destroy(&disk->write_queued);
	pthread_mutex_destroy(&disk->lock);
}
