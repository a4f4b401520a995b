<!DOCTYPE html>
<html lang="en">
<head>
<meta charset="utf-8">
<title>${title}</title>
<style>
body { font-family: sans-serif; max-width: 70em; margin: 1em auto; }
table { border-collapse: collapse; font-size: 90%; }
td, th { padding: 0.2em 0.7em; text-align: left; border-bottom: 1px solid #ddd; }
</style>
</head>
<body>
<h1>${title}</h1>
<p>Simulated servers. Intervals are 95% confidence intervals, bootstrapped over seeds; pairs are the same day under two policies.</p>
<table>
<tr><#list columns as column><th>${column}</th></#list></tr>
<#list rows as row>
<tr><#list row as cell><td>${cell}</td></#list></tr>
</#list>
</table>
<h2>Rules broken</h2>
<#if broken?size == 0>
<p>None.</p>
<#else>
<ul>
<#list broken as line>
<li>${line}</li>
</#list>
</ul>
</#if>
<#list charts as name, picture>
<h2>${name}</h2>
<img src="${picture}" alt="${name}">
</#list>
</body>
</html>
