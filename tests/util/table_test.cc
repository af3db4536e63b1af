#include "quetzalloft/table.h"

#include <gtest/gtest.h>

TEST(Table, HandleOfARemovedRowIsInvalid)
{
	ql_table_t table;
	void *row;
	ql_handle_t first, second;

	ql_table_init(&table, sizeof(int), 4);
	first = ql_table_insert(&table, &row);
	ql_table_remove(&table, first);
	second = ql_table_insert(&table, &row);
	EXPECT_NE(first, second);
	EXPECT_EQ(nullptr, ql_table_get(&table, first));
	EXPECT_EQ(row, ql_table_get(&table, second));
	ql_table_finish(&table);
}

TEST(Table, InsertFailsIfTheTableIsFull)
{
	ql_table_t table;
	void *row;

	ql_table_init(&table, sizeof(int), 20);
	for (int i = 0; i < 20; i++)
		ASSERT_NE(QL_HANDLE_NONE, ql_table_insert(&table, &row));
	EXPECT_EQ(QL_HANDLE_NONE, ql_table_insert(&table, &row));
	EXPECT_EQ(20u, table.count);
	ql_table_finish(&table);
}

TEST(Table, IteratesOverRowsInUse)
{
	ql_table_t table;
	ql_handle_t handles[5], found;
	uint32_t cursor = 0;
	int n_found = 0;
	void *row;

	ql_table_init(&table, sizeof(int), 8);
	for (ql_handle_t &handle : handles)
		handle = ql_table_insert(&table, &row);
	ql_table_remove(&table, handles[1]);
	ql_table_remove(&table, handles[3]);
	while (ql_table_next(&table, &cursor, &found)) {
		EXPECT_TRUE(found == handles[0] || found == handles[2] ||
			    found == handles[4]);
		n_found++;
	}
	EXPECT_EQ(3, n_found);
	ql_table_finish(&table);
}
