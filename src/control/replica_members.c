#include "control/replica_codec.h"
#include "control/replica_private.h"
#include "quetzalloft/error.h"

#include <inttypes.h>
#include <string.h>

const ql_replica_peer_t *ql_replica_find_member(const ql_replica_t *replica,
						uint64_t id)
{
	size_t i;

	for (i = 0; i < replica->n_peers; i++)
		if (replica->peers[i].id == id)
			return &replica->peers[i];
	return NULL;
}

ql_replica_peer_t *ql_replica__find_peer(ql_replica_t *replica, uint64_t id)
{
	return (ql_replica_peer_t *)ql_replica_find_member(replica, id);
}

bool ql_replica__is_voter(const ql_replica_t *replica)
{
	const ql_replica_peer_t *self =
		ql_replica_find_member(replica, replica->state.identity);

	return self && self->voter;
}

static bool lists_voter(const ql_rpc_replica_members *members, uint64_t id)
{
	const ql_rpc_replica_member *member;
	u_int i;

	for (i = 0; i < members->members.members_len; i++) {
		member = &members->members.members_val[i];
		if (member->id == id && member->voter)
			return true;
	}
	return false;
}

/*
 * A voter whose removal is in its log but not committed may campaign too: its
 * log may be longer than all others, so that no other voter can be elected.
 */
bool ql_replica__may_campaign(const ql_replica_t *replica)
{
	ql_rpc_replica_members before;
	bool ret;

	if (ql_replica__is_voter(replica))
		return true;
	if (replica->members_index <= replica->state.commit ||
	    !ql_replica__members_at(replica, replica->members_index - 1,
				    &before))
		return false;
	ret = lists_voter(&before, replica->state.identity);
	xdr_free((xdrproc_t)xdr_ql_rpc_replica_members, &before);
	return ret;
}

const char *ql_replica_leader_address(const ql_replica_t *replica)
{
	const ql_replica_peer_t *leader =
		ql_replica_find_member(replica, replica->leader);

	return replica->leader && leader ? leader->address : "";
}

static const ql_journal_entry_t *find_members_entry(const ql_replica_t *replica,
						    uint64_t up_to)
{
	const ql_journal_entry_t *entry;
	uint64_t index;

	for (index = MIN(up_to, ql_replica_last_index(replica));
	     index > replica->base_index; index--) {
		entry = ql_replica__entry(replica, index);
		if (entry->kind == QL_REPLICA_ENTRY_MEMBERS)
			return entry;
	}
	return NULL;
}

static bool decode_snapshot_members(const ql_replica_t *replica,
				    ql_rpc_replica_members *members)
{
	ql_rpc_replica_snapshot content = {0};

	if (!replica->snapshot.data ||
	    !ql_replica_snapshot_decode(&content, replica->snapshot.data))
		return false;
	*members = content.members;
	memset(&content.members, 0, sizeof(content.members));
	xdr_free((xdrproc_t)xdr_ql_rpc_replica_snapshot, &content);
	return true;
}

bool ql_replica__members_at(const ql_replica_t *replica, uint64_t index,
			    ql_rpc_replica_members *members)
{
	const ql_journal_entry_t *entry = find_members_entry(replica, index);

	memset(members, 0, sizeof(*members));
	if (entry && entry->index > replica->snapshot.index)
		return ql_replica_members_decode(members, entry->payload);
	if (decode_snapshot_members(replica, members))
		return true;
	return entry && ql_replica_members_decode(members, entry->payload);
}

static void clear_peers(ql_replica_peer_t *peers, size_t n_peers)
{
	size_t i;

	for (i = 0; i < n_peers; i++)
		g_clear_pointer(&peers[i].snapshot.data, g_bytes_unref);
}

/*
 * Adds a member to the peers, with the replication state that it had in the
 * old list.
 */
static void add_peer(ql_replica_t *replica, ql_replica_peer_t *old,
		     size_t n_old, const ql_rpc_replica_member *member)
{
	ql_replica_peer_t *peer = &replica->peers[replica->n_peers++];
	size_t i;

	memset(peer, 0, sizeof(*peer));
	peer->next = ql_replica_last_index(replica) + 1;
	for (i = 0; i < n_old; i++) {
		if (old[i].id != member->id)
			continue;
		*peer = old[i];
		old[i].snapshot.data = NULL;
	}
	peer->id = member->id;
	peer->voter = member->voter;
	g_strlcpy(peer->address, member->address, sizeof(peer->address));
}

void ql_replica__load_members(ql_replica_t *replica)
{
	const ql_journal_entry_t *entry =
		find_members_entry(replica, UINT64_MAX);
	ql_replica_peer_t old[QL_REPLICA_MEMBERS_MAX];
	size_t n_old = replica->n_peers;
	ql_rpc_replica_members members;
	u_int i;

	if (!ql_replica__members_at(replica, UINT64_MAX, &members))
		memset(&members, 0, sizeof(members));
	memcpy(old, replica->peers, sizeof(old));
	replica->n_peers = 0;
	for (i = 0; i < members.members.members_len; i++)
		add_peer(replica, old, n_old, &members.members.members_val[i]);
	clear_peers(old, n_old);
	replica->members_index = entry ? entry->index : replica->snapshot.index;
	ql_replica__check_promotion(replica);
	xdr_free((xdrproc_t)xdr_ql_rpc_replica_members, &members);
}

/*
 * The last change must be committed, and the leader must have committed an
 * entry of its own term.
 */
static bool members_settled(const ql_replica_t *replica)
{
	return replica->members_index <= replica->state.commit &&
	       replica->state.commit >= replica->term_start;
}

/* An entry of an older term is not committed by counting replicas. */
static bool may_commit(const ql_replica_t *replica, uint64_t index)
{
	return ql_replica__term_at(replica, index) == replica->state.term;
}

const ql_replica_rules_t ql_replica_rules = {
	.may_commit = may_commit,
	.members_settled = members_settled,
};

/* Returns whether the members already reflect a change. */
static bool is_change_in_effect(const ql_replica_t *replica,
				const ql_replica_change_t *change)
{
	const ql_replica_peer_t *peer =
		ql_replica_find_member(replica, change->id);

	switch (change->kind) {
	case QL_REPLICA_ADD_LEARNER:
		return peer && !strcmp(peer->address, change->address);
	case QL_REPLICA_PROMOTE:
		return peer && peer->voter;
	case QL_REPLICA_REMOVE:
	default:
		return !peer;
	}
}

static int check_add(const ql_replica_t *replica,
		     const ql_replica_change_t *change, GError **error)
{
	if (!change->id || !change->address || !change->address[0])
		return ql_error_set(error, QL_E_INVALID,
				    "a learner needs an identity and an "
				    "address");
	if (ql_replica_find_member(replica, change->id))
		return ql_error_set(error, QL_E_INVALID,
				    "replica %016" PRIx64
				    " is already a member at another address",
				    change->id);
	if (replica->n_peers == QL_REPLICA_MEMBERS_MAX)
		return ql_error_set(error, QL_E_FULL, "at most %d members",
				    QL_REPLICA_MEMBERS_MAX);
	return 0;
}

static int check_promote(const ql_replica_t *replica,
			 const ql_replica_change_t *change, GError **error)
{
	const ql_replica_peer_t *peer =
		ql_replica_find_member(replica, change->id);

	if (!peer)
		return ql_error_set(error, QL_E_NOT_FOUND,
				    "replica %016" PRIx64 " is not a member",
				    change->id);
	if (peer->match < replica->state.commit ||
	    peer->unanswered_ticks >= replica->opts.election_ticks)
		return ql_error_set(error, QL_E_PENDING,
				    "the learner has not caught up with the "
				    "log; send the change again");
	return 0;
}

static int check_remove(const ql_replica_t *replica,
			const ql_replica_change_t *change, GError **error)
{
	size_t n_voters = 0, n_answering = 0, i;
	const ql_replica_peer_t *peer;

	for (i = 0; i < replica->n_peers; i++) {
		peer = &replica->peers[i];
		if (!peer->voter || peer->id == change->id)
			continue;
		n_voters++;
		if (peer->id == replica->state.identity ||
		    peer->unanswered_ticks < replica->opts.election_ticks)
			n_answering++;
	}
	if (!n_voters)
		return ql_error_set(error, QL_E_INVALID,
				    "the last voter cannot be removed");
	if (n_answering < n_voters / 2 + 1)
		return ql_error_set(error, QL_E_UNAVAILABLE,
				    "only %zu of the %zu remaining voters are "
				    "answering",
				    n_answering, n_voters);
	return 0;
}

static int check_change(const ql_replica_t *replica,
			const ql_replica_change_t *change, GError **error)
{
	switch (change->kind) {
	case QL_REPLICA_ADD_LEARNER:
		return check_add(replica, change, error);
	case QL_REPLICA_PROMOTE:
		return check_promote(replica, change, error);
	case QL_REPLICA_REMOVE:
		return check_remove(replica, change, error);
	default:
		return ql_error_set(error, QL_E_INVALID,
				    "unknown kind of membership change");
	}
}

static void append_change(ql_replica_t *replica,
			  const ql_replica_change_t *change)
{
	ql_rpc_replica_member list[QL_REPLICA_MEMBERS_MAX + 1];
	ql_rpc_replica_members members = {{0, list}};
	const ql_replica_peer_t *peer;
	ql_rpc_replica_member *out;
	GBytes *payload;
	size_t i;

	for (i = 0; i < replica->n_peers; i++) {
		peer = &replica->peers[i];
		if (change->kind == QL_REPLICA_REMOVE && peer->id == change->id)
			continue;
		out = &list[members.members.members_len++];
		out->id = peer->id;
		out->address = (char *)peer->address;
		out->voter =
			peer->voter || (change->kind == QL_REPLICA_PROMOTE &&
					peer->id == change->id);
	}
	if (change->kind == QL_REPLICA_ADD_LEARNER) {
		out = &list[members.members.members_len++];
		out->id = change->id;
		out->address = (char *)change->address;
		out->voter = FALSE;
	}
	payload = ql_replica_members_encode(&members);
	ql_replica__append(replica, replica->state.term,
			   QL_REPLICA_ENTRY_MEMBERS, payload);
	g_bytes_unref(payload);
}

int ql_replica_change_members(ql_replica_t *replica,
			      const ql_replica_change_t *change, GError **error)
{
	int ret;

	if (replica->role != QL_REPLICA_LEADER)
		return ql_error_set(error, QL_E_NOT_LEADER,
				    "this replica is not the leader");
	if (!replica->opts.rules->members_settled(replica))
		return ql_error_set(error, QL_E_PENDING,
				    "an earlier membership change or the start "
				    "of the leader's term is not committed "
				    "yet; send the change again");
	if (is_change_in_effect(replica, change))
		return 0;
	ret = check_change(replica, change, error);
	if (ret)
		return ret;
	append_change(replica, change);
	ql_replica__broadcast(replica);
	return ql_error_set(error, QL_E_PENDING,
			    "the membership change is not committed yet; send "
			    "it again");
}
