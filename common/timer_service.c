#include "timer_service.h"

/**
 * struct timer_slot - a timer
 * @sequence: start order, breaks ties between equal due times
 * @heap_index: index in the heap, -1 while the slot is free
 */
struct timer_slot {
	int64_t due_us;
	int64_t period_us;
	uint64_t sequence;
	timer_callback callback;
	void *data;
	int heap_index;
};

static struct timer_slot *slot_at(const struct timer_service *service, int i)
{
	return &g_array_index(service->slots, struct timer_slot, i);
}

static int *heap_at(const struct timer_service *service, int i)
{
	return &g_array_index(service->heap, int, i);
}

static bool expires_before(const struct timer_service *service, int a, int b)
{
	const struct timer_slot *x = slot_at(service, *heap_at(service, a));
	const struct timer_slot *y = slot_at(service, *heap_at(service, b));

	if (x->due_us != y->due_us)
		return x->due_us < y->due_us;
	return x->sequence < y->sequence;
}

static void heap_swap(struct timer_service *service, int a, int b)
{
	int *x = heap_at(service, a);
	int *y = heap_at(service, b);
	int slot = *x;

	*x = *y;
	*y = slot;
	slot_at(service, *x)->heap_index = a;
	slot_at(service, *y)->heap_index = b;
}

static void sift_up(struct timer_service *service, int i)
{
	while (i > 0 && expires_before(service, i, (i - 1) / 2)) {
		heap_swap(service, i, (i - 1) / 2);
		i = (i - 1) / 2;
	}
}

static void sift_down(struct timer_service *service, int i)
{
	int nr = service->heap->len;
	int least;

	for (;;) {
		least = i;
		if (2 * i + 1 < nr && expires_before(service, 2 * i + 1, least))
			least = 2 * i + 1;
		if (2 * i + 2 < nr && expires_before(service, 2 * i + 2, least))
			least = 2 * i + 2;
		if (least == i)
			return;
		heap_swap(service, i, least);
		i = least;
	}
}

static void heap_remove(struct timer_service *service, int i)
{
	int last = service->heap->len - 1;

	slot_at(service, *heap_at(service, i))->heap_index = -1;
	if (i != last) {
		*heap_at(service, i) = *heap_at(service, last);
		slot_at(service, *heap_at(service, i))->heap_index = i;
	}
	g_array_set_size(service->heap, last);
	if (i == last)
		return;
	sift_up(service, i);
	sift_down(service, i);
}

void timer_service_init(struct timer_service *service)
{
	service->slots = g_array_new(FALSE, TRUE, sizeof(struct timer_slot));
	service->heap = g_array_new(FALSE, TRUE, sizeof(int));
	service->free_slots = g_array_new(FALSE, TRUE, sizeof(int));
	service->next_sequence = 0;
}

void timer_service_finish(struct timer_service *service)
{
	g_array_free(service->slots, TRUE);
	g_array_free(service->heap, TRUE);
	g_array_free(service->free_slots, TRUE);
}

static int allocate_slot(struct timer_service *service)
{
	GArray *free_list = service->free_slots;
	int slot;

	if (!free_list->len) {
		g_array_set_size(service->slots, service->slots->len + 1);
		return service->slots->len - 1;
	}
	slot = g_array_index(free_list, int, free_list->len - 1);
	g_array_set_size(free_list, free_list->len - 1);
	return slot;
}

int timer_subscribe(struct timer_service *service, int64_t first_us,
		    int64_t period_us, timer_callback callback, void *data)
{
	int slot = allocate_slot(service);
	struct timer_slot *s = slot_at(service, slot);

	s->due_us = first_us;
	s->period_us = period_us;
	s->sequence = service->next_sequence++;
	s->callback = callback;
	s->data = data;
	s->heap_index = service->heap->len;
	g_array_append_val(service->heap, slot);
	sift_up(service, s->heap_index);
	return slot;
}

void timer_cancel(struct timer_service *service, int *handle)
{
	int slot = *handle;

	*handle = TIMER_NONE;
	if (slot == TIMER_NONE || slot_at(service, slot)->heap_index < 0)
		return;
	heap_remove(service, slot_at(service, slot)->heap_index);
	g_array_append_val(service->free_slots, slot);
}

int64_t timer_service_next_us(const struct timer_service *service)
{
	if (!service->heap->len)
		return INT64_MAX;
	return slot_at(service, *heap_at(service, 0))->due_us;
}

void timer_service_advance(struct timer_service *service, int64_t now_us)
{
	struct timer_slot *s;
	timer_callback callback;
	void *data;
	int slot;

	while (timer_service_next_us(service) <= now_us) {
		slot = *heap_at(service, 0);
		s = slot_at(service, slot);
		callback = s->callback;
		data = s->data;
		if (s->period_us > 0) {
			s->due_us += s->period_us;
			if (s->due_us <= now_us)
				s->due_us = now_us + s->period_us;
			sift_down(service, 0);
		} else {
			heap_remove(service, 0);
			g_array_append_val(service->free_slots, slot);
		}
		callback(now_us, data);
	}
}
