// Calls an entry instance with the unmodified OpenAI client library and prints what it saw as JSON.
// Usage: node client.mjs BASE_URL MODEL

import OpenAI from 'openai';

const [baseURL, model] = process.argv.slice(2);
const client = new OpenAI({ baseURL, apiKey: 'example-schools', maxRetries: 1 });
const messages = [{ role: 'user', content: 'a plaque' }];
const result = {};

const whole = await client.chat.completions.create({ model, messages, max_tokens: 9 });
result.whole = { id: whole.id, text: whole.choices[0].message.content, usage: whole.usage };

const stream = await client.chat.completions.create(
    { model, messages, max_tokens: 15, stream: true, stream_options: { include_usage: true } });
result.stream = { ids: [], text: '' };
for await (const chunk of stream) {
    result.stream.ids.push(chunk.id);
    result.stream.text += chunk.choices[0]?.delta?.content ?? '';
    result.stream.usage = chunk.usage ?? null;
}

const abandoned = await client.chat.completions.create(
    { model, messages, max_tokens: 3000, stream: true });
result.abandoned = { chunks: 0 };
for await (const chunk of abandoned) {
    result.abandoned.id = chunk.id;
    result.abandoned.chunks += 1;
    if (result.abandoned.chunks === 3) {
        abandoned.controller.abort();
    }
}

const text = await client.completions.create({ model, prompt: 'engrave', max_tokens: 4 });
result.text = { id: text.id, text: text.choices[0].text };

result.models = (await client.models.list()).data.map(each => each.id);

try {
    await client.chat.completions.create({ model: 'no-such-model', messages });
    result.error = 'none';
} catch (error) {
    result.error = { name: error.constructor.name, status: error.status, message: error.message };
}

console.log(JSON.stringify(result));
