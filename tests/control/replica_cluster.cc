#include "control/replica_cluster.h"

namespace
{

const size_t ELECTION_LIMIT_TICKS = 1000;
const uint64_t TICK_MS = 50;

void send_message(void *data, ql_rpc_replica_message *message)
{
	static_cast<ClusterReplica *>(data)->cluster->messages.push_back(
		message);
}

void read_done(void *, uint64_t, int)
{
}

void role_changed(void *, ql_event_t)
{
}

void patch_decided(void *, const ql_patch_t *, const ql_patch_answer_t *)
{
}

void document_changed(void *, const ql_config_change_t *)
{
}

const ql_replicated_config_ops_t CONFIG_OPS = {send_message, read_done,
					       role_changed, patch_decided,
					       document_changed};

ql_patch_t make_patch(const std::string &id, uint64_t base,
		      const std::string &text)
{
	ql_patch_t patch = {};

	g_strlcpy(patch.id, id.c_str(), sizeof(patch.id));
	patch.base_version = base;
	patch.text = text.c_str();
	patch.length = text.size();
	return patch;
}

} // namespace

const ql_chart_t *replica_chart()
{
	static ql_chart_t chart;
	static bool loaded;

	if (!loaded &&
	    ql_replica_chart_load(&chart, QL_SOURCE_DIR "/charts", nullptr))
		g_error("cannot load the state chart of the replicas");
	loaded = true;
	return &chart;
}

ReplicaCluster::ReplicaCluster(const std::vector<ql_disk_t> &disks,
			       uint32_t snapshot_entries,
			       uint64_t snapshot_bytes)
{
	std::vector<ql_rpc_replica_member> list;
	ql_rpc_replica_members members;

	opts = {};
	opts.rules = &ql_replica_rules;
	opts.chart = replica_chart();
	opts.election_ticks = 20;
	opts.first_election_ticks = 5;
	opts.heartbeat_ticks = 4;
	opts.snapshot_entries = snapshot_entries;
	opts.kept_entries = snapshot_entries / 4;
	opts.snapshot_bytes = snapshot_bytes;
	opts.kept_bytes = snapshot_bytes / 4;
	opts.message_entries = QL_REPLICA_ENTRIES_MAX;
	opts.window_entries = 4096;
	opts.piece_bytes = 262144;
	for (size_t i = 0; i < disks.size(); i++) {
		replicas.push_back(std::make_unique<ClusterReplica>());
		replicas[i]->cluster = this;
		replicas[i]->disk = disks[i];
		start(i);
		list.push_back(
			{i + 1, const_cast<char *>("127.0.0.1:1"), TRUE});
	}
	members.members.members_len = (u_int)list.size();
	members.members.members_val = list.data();
	ql_replica_bootstrap(&replicas[0]->config.replica, &members);
	run_until_elected();
}

ReplicaCluster::~ReplicaCluster()
{
	for (size_t i = 0; i < replicas.size(); i++)
		if (replicas[i]->is_running)
			kill(i);
	for (auto message : messages)
		ql_replica_message_free(message);
}

void ReplicaCluster::start(size_t index)
{
	ClusterReplica &node = *replicas[index];
	ql_replicated_config_source_t source = {&node.journal, index + 1,
						&node.state};

	if (ql_journal_open(&node.journal, &node.disk, nullptr))
		g_error("cannot open the journal of replica %zu", index);
	node.bytes_read = node.journal.bytes_read;
	node.random = g_rand_new_with_seed((guint32)index + 1);
	opts.random = node.random;
	opts.clock_id = index + 1;
	ql_config_state_init(&node.state);
	if (ql_replicated_config_init(&node.config, &opts, &source, &CONFIG_OPS,
				      &node, nullptr))
		g_error("cannot start replica %zu", index);
	node.is_running = true;
}

void ReplicaCluster::kill(size_t index)
{
	ClusterReplica &node = *replicas[index];

	if (node.has_write)
		ql_replica_write_finish(&node.write);
	node.has_write = false;
	ql_replicated_config_finish(&node.config);
	ql_config_state_finish(&node.state);
	ql_journal_finish(&node.journal);
	g_rand_free(node.random);
	node.is_running = false;
}

bool ReplicaCluster::write_once(ClusterReplica &node)
{
	if (!node.is_running)
		return false;
	if (!node.has_write)
		node.has_write = ql_replica_take_write(&node.config.replica,
						       &node.write);
	if (!node.has_write || node.disk_is_stalled)
		return false;
	if (ql_replica_write_run(&node.write, &node.journal, nullptr)) {
		ql_replica_write_failed(&node.config.replica);
		return false;
	}
	ql_replica_write_finish(&node.write);
	node.has_write = false;
	ql_replica_write_done(&node.config.replica, node.write.sequence);
	node.n_writes++;
	return true;
}

void ReplicaCluster::deliver(ql_rpc_replica_message *message)
{
	ClusterReplica &from = *replicas[message->from - 1];
	ClusterReplica &to = *replicas[message->to - 1];

	if (!to.is_running || from.is_cut_off || to.is_cut_off)
		return;
	if (sets_time)
		ql_replica_set_time(&to.config.replica, now_ms * 1000);
	ql_replica_deliver(&to.config.replica, message);
}

bool ReplicaCluster::deliver_messages()
{
	bool delivered = !messages.empty();

	while (!messages.empty()) {
		ql_rpc_replica_message *message = messages.front();

		messages.pop_front();
		deliver(message);
		ql_replica_message_free(message);
	}
	return delivered;
}

void ReplicaCluster::run_until_idle()
{
	bool busy = true;

	while (busy) {
		busy = deliver_messages();
		for (auto &node : replicas)
			busy |= write_once(*node);
	}
}

ClusterReplica *ReplicaCluster::leader()
{
	for (auto &node : replicas) {
		const ql_replica_t &replica = node->config.replica;

		if (node->is_running && !node->is_cut_off &&
		    replica.role == QL_REPLICA_LEADER &&
		    replica.applied >= replica.term_start)
			return node.get();
	}
	return nullptr;
}

void ReplicaCluster::tick()
{
	now_ms += TICK_MS;
	for (auto &node : replicas) {
		if (!node->is_running)
			continue;
		if (sets_time)
			ql_replica_set_time(&node->config.replica,
					    now_ms * 1000);
		ql_replica_tick(&node->config.replica);
	}
	run_until_idle();
}

void ReplicaCluster::run_until_elected()
{
	for (size_t i = 0; i < ELECTION_LIMIT_TICKS; i++) {
		tick();
		if (leader() && i > opts.election_ticks)
			return;
	}
	g_error("no leader was elected in %zu ticks", ELECTION_LIMIT_TICKS);
}

void ReplicaCluster::submit_patch(const std::string &id, uint64_t base,
				  const std::string &text)
{
	ql_patch_t patch = make_patch(id, base, text);
	ql_patch_answer_t unused;

	ql_replicated_config_submit(&leader()->config, &patch, &unused);
}

ql_patch_answer_t ReplicaCluster::query_answer(size_t index,
					       const std::string &id,
					       uint64_t base,
					       const std::string &text)
{
	ql_patch_t patch = make_patch(id, base, text);
	ql_patch_answer_t answer = {};

	ql_replicated_config_submit(&replicas[index]->config, &patch, &answer);
	return answer;
}
