#include "node/replica_disk.h"
#include "quetzalloft/clock.h"
#include "quetzalloft/error.h"
#include "quetzalloft/log.h"
#include "quetzalloft/thread.h"

#include <string.h>

#define RETRY_INTERVAL_US (100 * QL_US_PER_MS)
/* Least time between two log lines of a write that goes on failing. */
#define FAILURE_LOG_INTERVAL_US (10 * QL_US_PER_S)

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
	ql_cond_init(&disk->write_queued);
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

/* Wakes the replica thread to poll the disk. */
static void wake_replica(ql_replica_disk_t *disk)
{
	/*
	 * When the ring is full, the replica thread has input and polls the
	 * disk anyway.
	 */
	ql_ring_push(disk->wake_ring, disk);
}

static void complete_write(ql_replica_disk_t *disk)
{
	pthread_mutex_lock(&disk->lock);
	disk->has_write = false;
	disk->failing = false;
	disk->last_synced_write = disk->write.sequence;
	pthread_mutex_unlock(&disk->lock);
	wake_replica(disk);
}

/* Waits for the next attempt; false when the thread is to end instead. */
static bool wait_for_retry(ql_replica_disk_t *disk)
{
	uint64_t retry_us = ql_clock_now_us() + RETRY_INTERVAL_US;
	bool stopping;

	pthread_mutex_lock(&disk->lock);
	disk->failing = true;
	disk->n_failures++;
	pthread_mutex_unlock(&disk->lock);
	wake_replica(disk);
	pthread_mutex_lock(&disk->lock);
	while (!disk->stopping && ql_clock_now_us() < retry_us)
		ql_cond_wait_until(&disk->write_queued, &disk->lock, retry_us);
	stopping = disk->stopping;
	pthread_mutex_unlock(&disk->lock);
	return !stopping;
}

static void log_failure(uint64_t *next_log_us, const GError *error)
{
	uint64_t now_us = ql_clock_now_us();

	if (now_us < *next_log_us)
		return;
	*next_log_us = now_us + FAILURE_LOG_INTERVAL_US;
	ql_log_error(LOG_CRIT, "journal_failed", error);
}

/*
 * Runs the write until it succeeds, as a disk that is full may get room again.
 * Returns false when the thread is to end before that.
 */
static bool run_write(ql_replica_disk_t *disk)
{
	uint64_t started_us = ql_clock_now_us();
	uint64_t next_log_us = 0;
	GError *error = NULL;

	while (ql_replica_write_run(&disk->write, &disk->journal, &error)) {
		log_failure(&next_log_us, error);
		g_clear_error(&error);
		if (!wait_for_retry(disk))
			return false;
	}
	if (next_log_us)
		ql_log(LOG_NOTICE, "journal_recovered",
		       QL_UINT("failed_ms", (ql_clock_now_us() - started_us) /
						    QL_US_PER_MS));
	return true;
}

static void *run_disk_thread(void *data)
{
	ql_replica_disk_t *disk = data;
	bool done = true;

	while (done && wait_for_write(disk)) {
		done = run_write(disk);
		ql_replica_write_finish(&disk->write);
		if (done)
			complete_write(disk);
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

void ql_replica_disk_poll(ql_replica_disk_t *disk,
			  ql_replica_disk_progress_t *progress)
{
	pthread_mutex_lock(&disk->lock);
	progress->last_synced_write = disk->last_synced_write;
	progress->n_failures = disk->n_failures;
	progress->failing = disk->failing;
	pthread_mutex_unlock(&disk->lock);
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
