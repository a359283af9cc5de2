/** A binary heap whose elements can be removed or moved from anywhere in O(log n). */

/** An element's place in a heap; -1 once removed. */
export type HeapNode<Element> = {
	value: Element;
	position: number;
};

/** A heap ordered by the function it was created with. */
export type Heap<Element> = {
	size: () => number;
	peek: () => Element | undefined;
	push: (value: Element) => HeapNode<Element>;
	pop: () => Element | undefined;
	/** Does nothing when the node has left the heap. */
	remove: (node: HeapNode<Element>) => void;
	/** Restores the order after the element's rank changed. */
	update: (node: HeapNode<Element>) => void;
	/** Every element in no particular order. */
	values: () => Element[];
};

/** A heap that gives the element before all others first. */
export const createHeap = <Element>(isBefore: (left: Element, right: Element) => boolean): Heap<Element> => {
	const nodes: Array<HeapNode<Element>> = [];

	const place = (node: HeapNode<Element>, position: number) => {
		nodes[position] = node;
		node.position = position;
	};

	const siftUp = (node: HeapNode<Element>) => {
		let {position} = node;
		while (position > 0) {
			const parentPosition = Math.trunc((position - 1) / 2);
			const parent = nodes[parentPosition]!;
			if (!isBefore(node.value, parent.value)) {
				break;
			}

			place(parent, position);
			position = parentPosition;
		}

		place(node, position);
	};

	const siftDown = (node: HeapNode<Element>) => {
		let {position} = node;
		for (;;) {
			const leftPosition = (2 * position) + 1;
			const left = nodes[leftPosition];
			if (!left) {
				break;
			}

			const right = nodes[leftPosition + 1];
			const child = right && isBefore(right.value, left.value) ? right : left;
			if (!isBefore(child.value, node.value)) {
				break;
			}

			const childPosition = child.position;
			place(child, position);
			position = childPosition;
		}

		place(node, position);
	};

	const update = (node: HeapNode<Element>) => {
		if (node.position < 0) {
			return;
		}

		siftUp(node);
		siftDown(node);
	};

	const remove = (node: HeapNode<Element>) => {
		const {position} = node;
		if (position < 0) {
			return;
		}

		node.position = -1;
		const last = nodes.pop()!;
		if (last !== node) {
			place(last, position);
			update(last);
		}
	};

	return {
		size: () => nodes.length,
		peek: () => nodes[0]?.value,
		push(value) {
			const node = {value, position: nodes.length};
			nodes.push(node);
			siftUp(node);
			return node;
		},
		pop() {
			const first = nodes[0];
			if (!first) {
				return undefined;
			}

			remove(first);
			return first.value;
		},
		remove,
		update,
		values: () => nodes.map(node => node.value),
	};
};
