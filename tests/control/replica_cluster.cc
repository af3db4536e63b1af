#include "control/replica_cluster.h"

namespace
{

const size_t MANY_TICKS = 1000;

void send_message(void *data, ql_rpc_replica_message *message)
{
	static_cast<ClusterNode *>(data)->cluster->messages.push_back(message);
}

void read_done(void *, uint64_t, int)
{
}

void role_changed(void *, ql_event_t)
{
}

void answered(void *, const ql_patch_t *, const ql_patch_answer_t *)
{
}

void changed(void *, const ql_config_change_t *)
{
}

const ql_replicated_config_ops_t CONFIG_OPS = {send_message, read_done,
					       role_changed, answered, changed};

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
		g_error("the chart cannot be loaded");
	loaded = true;
	return &chart;
}

Cluster::Cluster(const std::vector<ql_disk_t> &disks, uint32_t snapshot_entries)
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
	opts.message_entries = QL_REPLICA_ENTRIES_MAX;
	opts.window_entries = 4096;
	opts.piece_bytes = 262144;
	for (size_t i = 0; i < disks.size(); i++) {
		nodes.push_back(std::make_unique<ClusterNode>());
		nodes[i]->cluster = this;
		nodes[i]->disk = disks[i];
		start(i);
		list.push_back(
			{i + 1, const_cast<char *>("127.0.0.1:1"), TRUE});
	}
	members.members.members_len = (u_int)list.size();
	members.members.members_val = list.data();
	ql_replica_bootstrap(&nodes[0]->config.replica, &members);
	elect();
}

Cluster::~Cluster()
{
	for (size_t i = 0; i < nodes.size(); i++)
		if (nodes[i]->up)
			kill(i);
	for (auto message : messages)
		ql_replica_message_free(message);
}

void Cluster::start(size_t index)
{
	ClusterNode &node = *nodes[index];
	ql_replicated_config_source_t source = {&node.journal, index + 1,
						&node.state};

	if (ql_journal_open(&node.journal, &node.disk, nullptr))
		g_error("a journal cannot be opened");
	node.bytes_read = node.journal.bytes_read;
	node.random = g_rand_new_with_seed((guint32)index + 1);
	opts.random = node.random;
	ql_config_state_init(&node.state);
	if (ql_replicated_config_init(&node.config, &opts, &source, &CONFIG_OPS,
				      &node, nullptr))
		g_error("a replica cannot be started");
	node.up = true;
}

void Cluster::kill(size_t index)
{
	ClusterNode &node = *nodes[index];

	ql_replicated_config_finish(&node.config);
	ql_config_state_finish(&node.state);
	ql_journal_finish(&node.journal);
	g_rand_free(node.random);
	node.up = false;
}

bool Cluster::write(ClusterNode &node)
{
	ql_replica_write_t todo;

	if (!node.up || !ql_replica_take_write(&node.config.replica, &todo))
		return false;
	if (ql_replica_write_run(&todo, &node.journal, nullptr))
		g_error("a write failed");
	ql_replica_write_finish(&todo);
	ql_replica_write_done(&node.config.replica, todo.sequence);
	node.n_writes++;
	return true;
}

bool Cluster::deliver()
{
	bool any = !messages.empty();

	while (!messages.empty()) {
		ql_rpc_replica_message *message = messages.front();
		ClusterNode &to = *nodes[message->to - 1];

		messages.pop_front();
		if (to.up)
			ql_replica_deliver(&to.config.replica, message);
		ql_replica_message_free(message);
	}
	return any;
}

void Cluster::settle()
{
	bool busy = true;

	while (busy) {
		busy = deliver();
		for (auto &node : nodes)
			busy |= write(*node);
	}
}

ClusterNode *Cluster::leader()
{
	for (auto &node : nodes) {
		const ql_replica_t &replica = node->config.replica;

		if (node->up && replica.role == QL_REPLICA_LEADER &&
		    replica.applied >= replica.term_start)
			return node.get();
	}
	return nullptr;
}

void Cluster::elect()
{
	for (size_t i = 0; i < MANY_TICKS; i++) {
		for (auto &node : nodes)
			if (node->up)
				ql_replica_tick(&node->config.replica);
		settle();
		if (leader() && i > opts.election_ticks)
			return;
	}
	g_error("nobody was elected");
}

void Cluster::submit(const std::string &id, uint64_t base,
		     const std::string &text)
{
	ql_patch_t patch = make_patch(id, base, text);
	ql_patch_answer_t unused;

	ql_replicated_config_submit(&leader()->config, &patch, &unused);
}

ql_patch_answer_t Cluster::answer(size_t index, const std::string &id,
				  uint64_t base, const std::string &text)
{
	ql_patch_t patch = make_patch(id, base, text);
	ql_patch_answer_t found = {};

	ql_replicated_config_submit(&nodes[index]->config, &patch, &found);
	return found;
}
